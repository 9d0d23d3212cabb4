//! Statuses of responses. One that HTTP does not define must not pass as an answer: callers
//! of other systems got an answer with status 000 from an upstream in trouble.

use std::net::SocketAddr;

use bytes::Bytes;
use clock::Millis;
use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use http::{Request, Response};
use rstest::rstest;
use transport::{Payload, Result, listen};

const TIMEOUT: Millis = Millis(2_000);
const LIMIT_BYTES: usize = 1_024;

/// Starts a server that answers the first request with these bytes.
async fn start(answer: &'static str) -> SocketAddr {
    let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0))).await.unwrap();
    let address = listener.local_addr().unwrap();
    compio::runtime::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let BufResult(read, _) = stream.read(vec![0_u8; 4_096]).await;
        assert!(read.unwrap() > 0);
        let BufResult(written, _) = stream.write_all(answer.as_bytes().to_vec()).await;
        written.unwrap();
        compio::time::sleep(TIMEOUT.into()).await;
    })
    .detach();
    address
}

async fn get(address: SocketAddr) -> Result<Response<Bytes>> {
    let request = Request::get("/").header("host", "h");
    let request = request.body(Payload::default()).unwrap();
    transport::request(address, request, LIMIT_BYTES, TIMEOUT).await
}

#[rstest]
#[case::zero("HTTP/1.1 000 OK\r\ncontent-length: 2\r\n\r\nok")]
#[case::below_100("HTTP/1.1 099 OK\r\ncontent-length: 2\r\n\r\nok")]
#[case::switching_protocols("HTTP/1.1 101 Switching Protocols\r\n\r\n")]
#[case::above_599("HTTP/1.1 600 OK\r\ncontent-length: 2\r\n\r\nok")]
#[case::highest("HTTP/1.1 999 OK\r\ncontent-length: 2\r\n\r\nok")]
#[case::four_digits("HTTP/1.1 2000 OK\r\ncontent-length: 2\r\n\r\nok")]
#[case::two_digits("HTTP/1.1 20 OK\r\ncontent-length: 2\r\n\r\nok")]
#[case::letters("HTTP/1.1 OK 200\r\ncontent-length: 2\r\n\r\nok")]
#[case::negative("HTTP/1.1 -20 OK\r\ncontent-length: 2\r\n\r\nok")]
#[case::two_status_lines("HTTP/1.1 200 OK\r\nHTTP/1.1 000 OK\r\ncontent-length: 2\r\n\r\nok")]
#[compio::test]
async fn a_response_without_a_defined_status_is_unusable(#[case] answer: &'static str) {
    let error = get(start(answer).await).await.unwrap_err();
    assert!(error.is_unusable(), "{error}");
}

#[rstest]
#[case::success("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok", 200)]
#[case::no_reason("HTTP/1.1 200\r\ncontent-length: 2\r\n\r\nok", 200)]
#[case::highest("HTTP/1.1 599 Odd\r\ncontent-length: 2\r\n\r\nok", 599)]
#[compio::test]
async fn a_response_with_a_defined_status_is_read(
    #[case] answer: &'static str,
    #[case] status: u16,
) {
    let response = get(start(answer).await).await.unwrap();
    assert_eq!(response.status().as_u16(), status);
    assert_eq!(response.body().as_ref(), b"ok");
}
