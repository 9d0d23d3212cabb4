//! Stand-ins and drivers of the review's scripts: `standin CASE RECORD`. Exits with 1 if the
//! rule was broken, with 0 if it held, and with 2 if the case could not run.

mod base;
mod crossed;
mod link;
mod memory;
mod poison;
mod regress;
mod silent;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let case = args.get(1).map_or("", String::as_str);
    let record = args.get(2).map_or("record.txt", String::as_str);
    let dir = std::env::temp_dir().join(format!("coltsfootgw-review-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap_or_else(|e| base::cannot_run(&e.to_string()));
    let path = dir.to_string_lossy().into_owned();
    let is_broken = match case {
        "crossed" => crossed::run(record, &path),
        "regress" => regress::run(record, &path),
        "memory" => memory::run(record, &path),
        "poison" => poison::run(record, &path),
        "silent" => silent::run(record, &path),
        _ => base::cannot_run(&format!("no case {case}")),
    };
    base::end_processes();
    if std::env::var("KEEP_LOGS").is_err() {
        let _ = std::fs::remove_dir_all(&dir);
    } else {
        println!("logs: {path}");
    }
    std::process::exit(i32::from(is_broken));
}
