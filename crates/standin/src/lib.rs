//! Small fakes of the platform for tests and examples.
