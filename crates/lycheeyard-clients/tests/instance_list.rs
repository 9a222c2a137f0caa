//! The instance list, some entries of which no version of the platform that is known here wrote.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming};
use lycheeyard_clients::{HttpHandler, HttpInstanceDirectory, HttpServer, InstanceDirectory};
use lycheeyard_standin::CapturedLog;
use std::{net::SocketAddr, time::Duration};
use tokio::{net::TcpListener, time::Instant};

const NESTING: usize = 100_000;

/// Answers each request with the same list.
#[derive(Clone)]
struct FixedList(Bytes);

impl HttpHandler for FixedList {
    type Body = Full<Bytes>;

    async fn handle(&self, _: Request<Incoming>) -> Response<Full<Bytes>> {
        Response::new(Full::new(self.0.clone()))
    }
}

async fn serve(list: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("loopback port is free");
    let address = listener.local_addr().expect("listener has an address");
    tokio::spawn(async move {
        let server = HttpServer::new(FixedList(list.into()));
        server.accept_until(&listener, std::future::pending()).await;
    });
    address
}

fn instance(name: &str) -> String {
    format!(
        r#"{{"name":"{name}","role":"worker","data_centre":"dc1","address":"10.0.0.1:7400","incarnation":3,"state":"live"}}"#
    )
}

/// Entries that cannot be read.
fn odd_entries() -> Vec<String> {
    let nested = format!("{}{}", "[".repeat(NESTING), "]".repeat(NESTING));
    vec![
        nested.clone(),
        instance("w-odd").replace("\"live\"", &nested),
        instance("w-odd").replace(":7400", ":70000"),
        instance("w-odd").replace("\"10.0.0.1:7400\"", "\"worker.example:80\""),
        instance("w-odd").replace('3', "1e400"),
        instance("w-odd").replace('3', "18446744073709551616"),
        instance("w-odd").replace('3', "-1"),
        instance("w-odd").replace("\"worker\"", "\"other\""),
        instance("w-odd").replace("\"state\"", "\"name\""),
        "null".to_owned(),
        "[]".to_owned(),
    ]
}

/// Guards against instances that stop following the list, or keep an old one, over one entry that they cannot read, and against a log
/// line for it with each list.
#[tokio::test]
async fn odd_entry_hides_none_of_the_others() {
    let log = CapturedLog::default();
    let _guard = log.start();
    for odd in odd_entries() {
        let entries = [instance("w-1"), odd.clone(), instance("w-2")].join(",");
        let address = serve(format!(r#"{{"instances":[{entries}]}}"#)).await;
        let directory = HttpInstanceDirectory::new(address);
        let logged = log.lines_of("list:").len();
        for _ in 0..3 {
            let deadline = Instant::now() + Duration::from_secs(5);
            let list = directory.list(deadline).await;
            let list = list.unwrap_or_else(|err| panic!("{err}: {odd:.80}"));
            let names = list.instances.iter().map(|entry| entry.name.as_str());
            assert_eq!(names.collect::<Vec<_>>(), ["w-1", "w-2"], "{odd:.80}");
        }
        assert_eq!(log.lines_of("list:").len(), logged + 1, "{odd:.80}");
    }
}
