//! The lab on the command line.

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

fn output_text(out: &Output) -> String {
    String::from_utf8_lossy(&out.stdout).into_owned() + &String::from_utf8_lossy(&out.stderr)
}

const SMALL_EXPERIMENT: &str = "name = \"small\"\nspan = \"3s\"\nseeds = [1, 2, 3]\nclients.rate = 300.0\nservers.count = 8\n\
    nodes.count = 3\ncompare = [{ policy = \"dunelink\" }, { policy = \"p2c\" }]\n\
    troubles = [{ kind = \"stall\", at = \"1s\", for = \"1s\", servers = { part = 0.25 } }]\n";

#[test]
fn reports_do_not_depend_on_jobs() {
    let folder = folder("jobs");
    let file = folder.join("small.toml");
    fs::write(&file, SMALL_EXPERIMENT).unwrap();
    let run = |jobs: &str| {
        let out = folder.join(jobs);
        let output = lab().arg("run").arg(&file).args(["--jobs", jobs, "--out"]).arg(&out).output().unwrap();
        assert!(output.status.success(), "{}", output_text(&output));
        assert!(output_text(&output).contains("| dunelink | "), "{}", output_text(&output));
        ["html", "jsonl", "csv"]
            .map(|extension| fs::read_to_string(out.join("small").with_extension(extension)).unwrap())
    };
    let (one, four) = (run("1"), run("4"));
    assert_eq!(one, four);
    assert_eq!(one[1].lines().count(), 6);
}

#[test]
fn invalid_file_is_reported_by_line_and_key() {
    let file = folder("wrong").join("wrong.toml");
    fs::write(&file, "span = \"3s\"\nservers.count = 0\ncompare = [{ policy = \"p2c\" }]\n").unwrap();
    let output = lab().arg("check").arg(&file).output().unwrap();
    assert!(!output.status.success());
    assert!(
        output_text(&output).contains("wrong.toml: line 2: servers.count: expected 1 to 20000"),
        "{}",
        output_text(&output)
    );
}

#[test]
fn experiments_of_repository_are_valid() {
    let experiments = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../experiments");
    let files: Vec<PathBuf> = fs::read_dir(experiments).unwrap().map(|entry| entry.unwrap().path()).collect();
    assert!(files.len() >= 9);
    let output = lab().arg("check").args(&files).output().unwrap();
    assert!(output.status.success(), "{}", output_text(&output));
}

#[test]
fn breach_is_shrunk_and_reported() {
    let folder = folder("shrink");
    let file = folder.join("cold.toml");
    let text =
        SMALL_EXPERIMENT.replace("clients.rate = 300.0", "clients.rate = 390.0").replace("stall", "crash");
    fs::write(&file, text.replace("0.25", "0.9").replace("span = \"3s\"", "span = \"9s\"")).unwrap();
    let shrink = |policy: &str| {
        output_text(
            &lab().arg("shrink").arg(&file).args(["--seed", "1", "--policy", policy]).output().unwrap(),
        )
    };
    assert!(shrink("p2c").contains("PushedOver, server"), "{}", shrink("p2c"));
    assert!(shrink("dunelink").contains("breaks no rule"), "{}", shrink("dunelink"));
}

#[cfg(unix)]
#[test]
fn interrupted_run_still_reports() {
    let folder = folder("interrupted");
    let file = folder.join("long.toml");
    fs::write(&file, SMALL_EXPERIMENT.replace("span = \"3s\"", "span = \"10h\"")).unwrap();
    let mut run = lab();
    run.arg("run").arg(&file).arg("--out").arg(&folder).stdout(Stdio::piped()).stderr(Stdio::piped());
    let child = run.spawn().unwrap();
    // The program installs its signal handler before it reads its files; this time is enough for that.
    thread::sleep(Duration::from_millis(1500));
    let start = Instant::now();
    Command::new("kill").args(["-INT", &child.id().to_string()]).status().unwrap();
    let output = child.wait_with_output().unwrap();
    assert!(start.elapsed() < Duration::from_secs(10));
    assert!(
        !output.status.success() && output_text(&output).contains("interrupted"),
        "{}",
        output_text(&output)
    );
    assert!(fs::read_to_string(folder.join("long.html")).unwrap().contains("ended before their time"));
}
