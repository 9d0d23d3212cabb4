//! Upstreams that send a refusal a second time, late: where the answer to the next
//! request on the connection is expected.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::io::AsyncWriteExt;
use compio::net::{TcpListener, TcpStream};
use transport::listen;

use crate::raw_request::RawRequest;

/// Time for which a request runs after the second copy was sent.
const SERVICE_TIME: Duration = Duration::from_millis(20);

/// What is sent a second time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeated {
    /// The refusal of a request, with the request's identifier.
    Refusal,
    /// The refusal of a request, without an identifier.
    UnnamedRefusal,
    /// As `Refusal`, but the second copy says that another upstream was expected.
    Misdirected,
}

/// What an upstream that repeats its refusals has done.
#[derive(Debug, Default)]
pub struct RepeatLog {
    /// Identifiers of the requests that it ran.
    pub ran: RefCell<Vec<String>>,
    /// Refusals that it sent a second time while another request ran.
    pub repeats: Cell<usize>,
}

/// An upstream that refuses every other request.
struct Repeating {
    repeated: Repeated,
    log: Rc<RepeatLog>,
    refuses_next: Cell<bool>,
}

/// Starts an upstream on a free port of loopback.
///
/// # Errors
///
/// Fails if no port can be bound.
pub async fn start(repeated: Repeated, log: &Rc<RepeatLog>) -> std::io::Result<SocketAddr> {
    let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
    let address = listener.local_addr()?;
    let upstream = Rc::new(Repeating {
        repeated,
        log: log.clone(),
        refuses_next: Cell::new(true),
    });
    compio::runtime::spawn(accept(listener, upstream)).detach();
    Ok(address)
}

async fn accept(listener: TcpListener, upstream: Rc<Repeating>) {
    while let Ok((stream, _)) = listener.accept().await {
        let upstream = upstream.clone();
        let serving = async move { upstream.serve(stream).await };
        compio::runtime::spawn(serving).detach();
    }
}

impl Repeating {
    async fn serve(&self, mut stream: TcpStream) {
        let mut refused: Option<String> = None;
        while let Some(request) = RawRequest::read(&mut stream).await {
            let id = request.header("request-id");
            if self.refuses_next.replace(!self.refuses_next.get()) {
                write(&mut stream, self.refusal(id)).await;
                refused = Some(id.to_owned());
                continue;
            }
            self.log.ran.borrow_mut().push(id.to_owned());
            if let Some(earlier) = refused.take() {
                self.log.repeats.set(self.log.repeats.get() + 1);
                write(&mut stream, self.second_copy(&earlier)).await;
            }
            compio::time::sleep(SERVICE_TIME).await;
            let headers = format!("request-id: {id}\r\nserver-stamp: stamp.{id}\r\n");
            write(&mut stream, head("200 OK", &headers)).await;
        }
    }

    fn refusal(&self, id: &str) -> String {
        let headers = match self.repeated {
            Repeated::UnnamedRefusal => "not-executed: 1\r\n".to_owned(),
            Repeated::Refusal | Repeated::Misdirected => {
                format!("not-executed: 1\r\nrequest-id: {id}\r\n")
            }
        };
        head("503 Service Unavailable", &headers)
    }

    fn second_copy(&self, id: &str) -> String {
        match self.repeated {
            Repeated::Refusal | Repeated::UnnamedRefusal => self.refusal(id),
            Repeated::Misdirected => {
                head("421 Misdirected Request", &format!("request-id: {id}\r\n"))
            }
        }
    }
}

/// Returns an answer without a body.
fn head(status: &str, headers: &str) -> String {
    format!("HTTP/1.1 {status}\r\ncontent-length: 0\r\n{headers}\r\n")
}

/// Writes an answer; the next read finds out if the connection is lost.
async fn write(stream: &mut TcpStream, answer: String) {
    let _ = stream.write_all(answer.into_bytes()).await;
}
