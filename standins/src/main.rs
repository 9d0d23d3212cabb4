//! Command line of the stand-ins, the demonstration and the load tools.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use clap::{Parser, Subcommand};
use serde::Deserialize;
use serde_json::json;
use standins::platform::endpoints::Endpoints;
use standins::platform::site;
use standins::upstream::{Behaviour, Options};
use standins::{bench, demo, graph, instances, load, store, upstream};
use transport::{Event, Listener, ServerLimits, serve};

#[derive(Debug, Parser)]
#[command(about = "Stand-ins for the platform and the upstreams of coltsfootgw")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run the key-value store.
    Store {
        /// Address to listen on.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
    },
    /// Run the list of instances.
    Instances {
        /// Address to listen on.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
    },
    /// Run one or several upstreams.
    Upstream {
        /// The upstreams as a JSON list of name, address and behaviour.
        #[arg(long)]
        upstreams: String,
        /// Seed of the service times.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Run the whole system on loopback: a search, a booking, and the loss of an upstream.
    Demo {
        /// File of the declarations (YAML); its addresses are replaced.
        #[arg(long)]
        file: std::path::PathBuf,
        /// Service that receives the searches and the booking.
        #[arg(long)]
        service: String,
    },
    /// Measure the variants of a scenario in turn.
    Bench {
        /// Name of the scenario.
        scenario: String,
        /// Seed of service times and arrivals.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Run only variants whose names contain this text.
        #[arg(long, default_value = "")]
        only: String,
        /// Number of rounds of each variant.
        #[arg(long, default_value_t = 3)]
        rounds: u64,
        /// Length of the load in each round, in seconds.
        #[arg(long, default_value_t = 6.0)]
        seconds: f64,
        /// Directory of the example deployments.
        #[arg(long, default_value = "examples")]
        examples: std::path::PathBuf,
    },
    /// Draw the latency distributions of a bench.
    Graph {
        /// File with the JSON lines that a bench printed.
        #[arg(long)]
        from: std::path::PathBuf,
        /// SVG file to write.
        #[arg(long)]
        to: std::path::PathBuf,
    },
    /// Run a site of the platform, a store and upstreams, until the process is ended.
    Site {
        /// Settings file to write for a daemon.
        #[arg(long)]
        settings: std::path::PathBuf,
        /// IP address of the daemon.
        #[arg(long, default_value = "127.0.0.1")]
        ip: std::net::Ipv4Addr,
        /// Number of shards.
        #[arg(long, default_value_t = 10)]
        shards: usize,
        /// Service time of each request, in milliseconds.
        #[arg(long, default_value_t = 11)]
        service_ms: u64,
    },
    /// Measure the cost of the control plane as the number of daemons and upstreams grows.
    Scale,
    /// Send an open-loop load of searches.
    Load {
        /// Address of a daemon for callers; may be repeated.
        #[arg(long, required = true)]
        callers: Vec<SocketAddr>,
        /// Service to search; may be repeated.
        #[arg(long, required = true)]
        service: Vec<String>,
        /// Requests per second.
        #[arg(long)]
        rate: f64,
        /// Length of the load, in seconds.
        #[arg(long)]
        seconds: f64,
        /// Deadline of each request, in milliseconds.
        #[arg(long)]
        deadline_ms: Option<u64>,
        /// Seed of the arrival times.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
}

#[derive(Deserialize)]
struct UpstreamSpec {
    name: String,
    address: SocketAddr,
    #[serde(default)]
    behaviour: Behaviour,
}

#[compio::main]
async fn main() -> ExitCode {
    match run(Cli::parse().command).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("error: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn run(command: Command) -> Result<(), Box<dyn std::error::Error>> {
    match command {
        Command::Store { listen } => serve_routes(listen, store::router()).await,
        Command::Instances { listen } => serve_routes(listen, instances::router()).await,
        Command::Upstream { upstreams, seed } => serve_upstreams(&upstreams, seed).await,
        Command::Demo { file, service } => demo::run(&file, &service).await,
        Command::Bench {
            scenario,
            seed,
            only,
            rounds,
            seconds,
            examples,
        } => {
            let options = bench::Options {
                scenario,
                seed,
                only,
                rounds,
                seconds,
            };
            bench::run(&options, &examples).await.map(|_| ())
        }
        Command::Graph { from, to } => graph::draw(&from, &to),
        Command::Site {
            settings,
            ip,
            shards,
            service_ms,
        } => serve_site(&settings, ip, shards, service_ms).await,
        Command::Scale => {
            bench::scale::run().await;
            Ok(())
        }
        Command::Load {
            callers,
            service,
            rate,
            seconds,
            deadline_ms,
            seed,
        } => {
            let duration = Duration::from_secs_f64(seconds);
            let load = load::Load {
                callers,
                services: service,
                rate,
                duration,
                deadline_ms,
                seed,
            };
            println!("{}", json!(load::run(&load).await));
            Ok(())
        }
    }
}

async fn serve_routes(
    listen: SocketAddr,
    router: axum::Router,
) -> Result<(), Box<dyn std::error::Error>> {
    let listener = Listener::bind(listen).await?;
    println!("{}", json!({ "listening": listener.address }));
    serve(
        listener,
        router,
        ServerLimits::default(),
        Event::default(),
        Rc::default(),
    )
    .await;
    Ok(())
}

async fn serve_upstreams(upstreams: &str, seed: u64) -> Result<(), Box<dyn std::error::Error>> {
    let specs: Vec<UpstreamSpec> = serde_json::from_str(upstreams)?;
    let mut addresses = Vec::new();
    for spec in specs {
        let options = Options {
            name: spec.name,
            address: spec.address,
            behaviour: spec.behaviour,
            seed,
        };
        addresses.push(upstream::start(options).await?);
    }
    println!("{}", json!({ "listening": addresses }));
    std::future::pending::<()>().await;
    Ok(())
}

async fn serve_site(
    settings: &std::path::Path,
    ip: std::net::Ipv4Addr,
    shards: usize,
    service_ms: u64,
) -> Result<(), Box<dyn std::error::Error>> {
    let size = site::Size {
        shards,
        replicas: 3,
        service_time: clock::Millis(service_ms),
    };
    let site = site::Site::start(size).await?;
    let endpoints = Endpoints { ip };
    let file = site::settings("gateway-1", endpoints, "a", site.store_address, &[]);
    std::fs::write(settings, file.to_string())?;
    println!("{}", json!({ "store": site.store_address }));
    std::future::pending::<()>().await;
    Ok(())
}
