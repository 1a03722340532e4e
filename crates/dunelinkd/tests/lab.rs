//! The lab at the command line.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::thread;
use std::time::{Duration, Instant};

fn lab() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_dunelink"));
    command.arg("lab").stdin(Stdio::null());
    command
}

fn folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("lab-{name}-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    folder
}

fn told(out: &Output) -> String {
    String::from_utf8_lossy(&out.stdout).into_owned() + &String::from_utf8_lossy(&out.stderr)
}

const SMALL: &str = "name = \"small\"\nspan = \"3s\"\nseeds = [1, 2, 3]\nclients.rate = 300.0\nservers.count = 8\n\
    nodes.count = 3\ncompare = [{ policy = \"dunelink\" }, { policy = \"p2c\" }]\n\
    troubles = [{ kind = \"stall\", at = \"1s\", for = \"1s\", servers = { part = 0.25 } }]\n";

#[test]
fn runs_tell_the_same_whatever_the_number_of_jobs() {
    let folder = folder("jobs");
    let file = folder.join("small.toml");
    fs::write(&file, SMALL).unwrap();
    let play = |jobs: &str| {
        let out = folder.join(jobs);
        let done = lab().arg("run").arg(&file).args(["--jobs", jobs, "--out"]).arg(&out).output().unwrap();
        assert!(done.status.success(), "{}", told(&done));
        assert!(told(&done).contains("| dunelink | "), "{}", told(&done));
        ["html", "jsonl", "csv"]
            .map(|form| fs::read_to_string(out.join("small").with_extension(form)).unwrap())
    };
    let (one, four) = (play("1"), play("4"));
    assert_eq!(one, four);
    assert_eq!(one[1].lines().count(), 6);
}

#[test]
fn a_file_that_can_not_be_played_is_told_by_line_and_key() {
    let file = folder("wrong").join("wrong.toml");
    fs::write(&file, "span = \"3s\"\nservers.count = 0\ncompare = [{ policy = \"p2c\" }]\n").unwrap();
    let done = lab().arg("check").arg(&file).output().unwrap();
    assert!(!done.status.success());
    assert!(
        told(&done).contains("wrong.toml: line 2: servers.count: expected 1 to 20000"),
        "{}",
        told(&done)
    );
}

#[test]
fn the_experiments_of_the_repository_can_be_played() {
    let library = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../experiments");
    let files: Vec<PathBuf> = fs::read_dir(library).unwrap().map(|entry| entry.unwrap().path()).collect();
    assert!(files.len() >= 9);
    let done = lab().arg("check").args(&files).output().unwrap();
    assert!(done.status.success(), "{}", told(&done));
}

#[test]
fn a_breach_is_shrunk_and_told() {
    let folder = folder("shrink");
    let file = folder.join("cold.toml");
    let text = SMALL.replace("clients.rate = 300.0", "clients.rate = 390.0").replace("stall", "crash");
    fs::write(&file, text.replace("0.25", "0.9").replace("span = \"3s\"", "span = \"9s\"")).unwrap();
    let shrink = |policy: &str| {
        told(&lab().arg("shrink").arg(&file).args(["--seed", "1", "--policy", policy]).output().unwrap())
    };
    assert!(shrink("p2c").contains("PushedOver, server"), "{}", shrink("p2c"));
    assert!(shrink("dunelink").contains("breaks no rule"), "{}", shrink("dunelink"));
}

#[cfg(unix)]
#[test]
fn an_interrupted_run_still_tells_what_was_played() {
    let folder = folder("interrupted");
    let file = folder.join("long.toml");
    fs::write(&file, SMALL.replace("span = \"3s\"", "span = \"10h\"")).unwrap();
    let mut run = lab();
    run.arg("run").arg(&file).arg("--out").arg(&folder).stdout(Stdio::piped()).stderr(Stdio::piped());
    let child = run.spawn().unwrap();
    // It takes the signal over before it reads its files; a moment is enough for that.
    thread::sleep(Duration::from_millis(1500));
    let began = Instant::now();
    Command::new("kill").args(["-INT", &child.id().to_string()]).status().unwrap();
    let done = child.wait_with_output().unwrap();
    assert!(began.elapsed() < Duration::from_secs(10));
    assert!(!done.status.success() && told(&done).contains("interrupted"), "{}", told(&done));
    assert!(fs::read_to_string(folder.join("long.html")).unwrap().contains("ended before their time"));
}
