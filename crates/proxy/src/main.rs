//! The proxy as a program.

fn main() -> std::process::ExitCode {
    dunelink_proxy::main()
}
