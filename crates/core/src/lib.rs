//! Decisions and state machines of the router, free of sockets, clocks and threads.
