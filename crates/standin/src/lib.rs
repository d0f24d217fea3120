//! Small fakes of the platform for tests and examples.

pub mod measure;
pub mod virtual_target;
