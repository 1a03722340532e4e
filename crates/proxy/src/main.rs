//! The proxy program.

fn main() -> std::process::ExitCode {
    dunelink_proxy::main()
}
