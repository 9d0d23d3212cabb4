//! Workspaces of a site, and callers that send keys.

use bytes::Bytes;
use http::{Method, Request};
use serde_json::{Value, json};
use transport::Payload;

use super::site::{HOST, READ, Site, put, start_site};

/// Prefix of reads that need no key.
pub const PUBLIC: &str = "/public/";
/// Version of the configuration that [`start_site_with`] puts in the store.
pub const KEYED_VERSION: u64 = 2;

/// Returns a workspace of a configuration.
pub fn workspace(name: &str, keys: &[&str]) -> Value {
    json!({ "name": name, "api-keys": keys })
}

/// Adds workspaces and a public route to a configuration.
pub fn with_workspaces(mut configuration: Value, workspaces: &[Value]) -> Value {
    configuration["tenants"] = json!(workspaces);
    let routes = configuration["routes"].as_array_mut();
    let routes = routes.expect("a configuration has routes");
    let read = routes.iter().find(|r| r["prefix"] == READ);
    let mut public = read.expect("there is a route for reads").clone();
    public["name"] = json!("public");
    public["prefix"] = json!(PUBLIC);
    public["public"] = json!(true);
    routes.push(public);
    configuration
}

/// Returns a configuration of a site with workspaces.
pub fn keyed_configuration(site: &Site, version: u64, workspaces: &[Value]) -> Value {
    let configuration = super::site::configuration(site.shards.len(), version);
    with_workspaces(configuration, workspaces)
}

/// Starts a site whose configuration, of version [`KEYED_VERSION`], has workspaces.
///
/// # Panics
///
/// Panics if no port can be bound.
pub async fn start_site_with(workspaces: &[Value]) -> Site {
    let site = start_site().await;
    let configuration = keyed_configuration(&site, KEYED_VERSION, workspaces);
    put(&site.store, "op/config", &configuration);
    site
}

/// Returns a request with the usual headers and some more.
///
/// # Panics
///
/// Panics if a header is malformed.
pub fn request(
    method: Method,
    path: &str,
    id: &str,
    headers: &[(&str, &str)],
    body: Bytes,
) -> Request<Payload> {
    let builder = Request::builder()
        .method(method)
        .uri(path)
        .header("host", HOST)
        .header("request-id", id);
    let add = |builder: http::request::Builder, (name, value): &(&str, &str)| {
        builder.header(*name, *value)
    };
    let builder = headers.iter().fold(builder, add);
    builder.body(Payload::new(body)).expect("valid headers")
}

/// Returns a request without a body and with a key.
pub fn keyed_request(path: &str, id: &str, key: &str) -> Request<Payload> {
    request(Method::GET, path, id, &[("x-api-key", key)], Bytes::new())
}
