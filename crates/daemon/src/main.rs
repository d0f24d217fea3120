//! Entry point of the daemon.

fn main() {
    std::process::exit(ragwortrill_daemon::run());
}
