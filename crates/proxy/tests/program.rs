//! The proxy program: command line, settings and signals.

use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};

use rustix::process::{Pid, Signal, kill_process};

/// A settings file that is removed when it is dropped.
struct SettingsFile(PathBuf);

impl SettingsFile {
    fn write(name: &str, text: &str) -> Self {
        let path = std::env::temp_dir().join(format!("dunelink-proxy-{}-{name}.toml", std::process::id()));
        std::fs::write(&path, text).unwrap();
        Self(path)
    }
}

impl Drop for SettingsFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

const VALID: &str = r#"
nodeName = "front-1"
ip = "127.0.0.1"
internalPorts = [7680, 7695]
[listen]
front = "127.0.0.1:0"
readiness = "127.0.0.1:0"
[bounds]
graceS = 1
"#;

fn command(settings: &SettingsFile, arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_dunelink-proxy"));
    command.args(arguments).env("DUNELINK_BOOT", &settings.0).stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

fn output(settings: &SettingsFile, arguments: &[&str]) -> Output {
    command(settings, arguments).output().unwrap()
}

fn signal(child: &Child, signal: Signal) {
    kill_process(Pid::from_child(child), signal).unwrap();
}

#[test]
fn invalid_arguments_and_settings_exit_with_2() {
    let valid = SettingsFile::write("valid", VALID);
    let invalid_settings = SettingsFile::write("wrong", "nodeName = 7");
    assert_eq!(output(&valid, &["--check"]).status.code(), Some(0));
    let invalid = output(&invalid_settings, &["--check"]);
    assert_eq!(invalid.status.code(), Some(2));
    assert_eq!(String::from_utf8_lossy(&invalid.stderr).lines().count(), 1);
    assert_eq!(output(&valid, &["--chekc"]).status.code(), Some(2));
    assert_eq!(output(&valid, &["--log", "xml"]).status.code(), Some(2));
    let help = output(&invalid_settings, &["--help"]);
    assert!(help.status.success() && String::from_utf8_lossy(&help.stdout).contains("--check"));
}

#[test]
fn sigterm_exits_cleanly_and_sighup_is_ignored() {
    let settings = SettingsFile::write("run", VALID);
    let mut child = command(&settings, &["--log", "json"]).spawn().unwrap();
    let mut log_lines = BufReader::new(child.stderr.take().unwrap());
    let mut line = String::new();
    log_lines.read_line(&mut line).unwrap();
    assert!(line.starts_with('{') && line.contains("listens"), "{line}");
    signal(&child, Signal::HUP);
    line.clear();
    log_lines.read_line(&mut line).unwrap();
    assert!(line.contains("settings changed"), "{line}");
    signal(&child, Signal::TERM);
    assert!(child.wait().unwrap().success());
}

#[test]
fn responds_503_without_agent() {
    let settings = SettingsFile::write("alone", VALID);
    let mut child = command(&settings, &[]).spawn().unwrap();
    let mut log_lines = BufReader::new(child.stderr.take().unwrap());
    let mut line = String::new();
    log_lines.read_line(&mut line).unwrap();
    let address = line.split("front=").nth(1).unwrap().split_whitespace().next().unwrap();
    let mut client = TcpStream::connect(address).unwrap();
    client.write_all(b"GET / HTTP/1.1\r\nHost: h\r\nX-Dunelink-Request-Id: a\r\n\r\n").unwrap();
    let mut status = String::new();
    BufReader::new(&client).read_line(&mut status).unwrap();
    assert!(status.starts_with("HTTP/1.1 503 "), "{status}");
    signal(&child, Signal::TERM);
    assert!(child.wait().unwrap().success());
}
