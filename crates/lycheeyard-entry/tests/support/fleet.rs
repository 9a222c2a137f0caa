use super::Api;
use lycheeyard_protocol::{
    DataCentreId, Incarnation, Instance, InstanceRole, InstanceState, Organisation,
    RequestsPerSecond, Service, Slots, Ticket, TicketNumber, Weight,
};
use lycheeyard_standin::{Deployment, StandinCluster};
use std::{
    collections::{BTreeMap, BTreeSet},
    io::{BufRead, BufReader},
    net::SocketAddr,
    process::{Child, Command, Stdio},
};

/// The fleet: stand-ins and the entry processes that were started.
pub struct Fleet {
    pub standins: StandinCluster,
    entries: BTreeMap<String, Entry>,
    lives: u64,
}

struct Entry {
    child: Child,
    address: SocketAddr,
}

impl Fleet {
    /// Starts the stand-ins of the small deployment and `count` entry processes in its first data centre.
    pub async fn start(count: usize) -> Self {
        let standins = StandinCluster::start(Deployment::Cordillera)
            .await
            .expect("stand-ins");
        let mut fleet = Self {
            standins,
            entries: BTreeMap::new(),
            lives: 0,
        };
        for number in 1..=count {
            fleet.start_entry(&format!("dc1-e{number}"));
        }
        fleet
    }

    /// The data centre that the entry processes are in.
    pub fn data_centre(&self) -> DataCentreId {
        self.standins.data_centres[0].id.clone()
    }

    /// Starts an entry process and lists it.
    pub fn start_entry(&mut self, name: &str) {
        self.lives += 1;
        let mut child = Command::new(env!("CARGO_BIN_EXE_lycheeyard-entry"))
            .args(["--instance", name])
            .args(["--incarnation", &self.lives.to_string()])
            .args(["--data-centre", self.data_centre().as_str()])
            .args(["--listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0"])
            .args(["--store", &self.standins.store.address().to_string()])
            .args(["--instances", &self.standins.list.address().to_string()])
            .args(["--scheduler-lease-ms", "1500", "--drain-ms", "200"])
            .args(["--access", "open", "--log-filter", "info"])
            .env("NO_COLOR", "1")
            .stderr(Stdio::piped())
            .spawn()
            .expect("the daemon starts");
        let stderr = child.stderr.take().expect("piped");
        let mut lines = BufReader::new(stderr).lines();
        let (address, peer_address) = lines
            .by_ref()
            .find_map(|line| parse_addresses(&line.expect("readable logs")))
            .expect("the daemon logs its addresses");
        std::thread::spawn(move || lines.for_each(drop));
        self.standins.list.put(Instance {
            name: name.to_owned(),
            role: InstanceRole::Entry,
            data_centre: self.data_centre(),
            service: None,
            address,
            peer_address: Some(peer_address),
            incarnation: Incarnation(self.lives),
            state: InstanceState::Live,
        });
        self.entries
            .insert(name.to_owned(), Entry { child, address });
    }

    /// The interface of an entry process.
    pub fn api(&self, name: &str) -> Api {
        Api::new(self.entries[name].address)
    }

    /// The names of the entry processes that run.
    pub fn names(&self) -> Vec<String> {
        self.entries.keys().cloned().collect()
    }

    /// Ends an entry process at once, without any warning to it; the list forgets it.
    pub fn kill(&mut self, name: &str) {
        let mut entry = self.entries.remove(name).expect("a running entry");
        entry.child.kill().expect("the process can be killed");
        entry.child.wait().expect("the process ends");
        self.standins.list.remove(name);
    }

    /// Sends a signal by its name, such as `STOP`, `CONT` or `TERM`.
    pub fn signal(&self, name: &str, signal: &str) {
        let pid = self.entries[name].child.id().to_string();
        let sent = Command::new("kill")
            .args([&format!("-{signal}"), &pid])
            .status();
        assert!(sent.expect("kill runs").success());
    }

    /// Waits for an entry process that was told to end, and says whether it ended well.
    pub async fn wait_for_end(&mut self, name: &str) -> bool {
        let mut entry = self.entries.remove(name).expect("a running entry");
        tokio::task::spawn_blocking(move || entry.child.wait())
            .await
            .expect("the wait ends")
            .expect("the process ends")
            .success()
    }

    /// A ticket that puts the deployment with two organisations in force.
    pub fn base_ticket(&self, number: u64) -> Ticket {
        Ticket {
            number: TicketNumber(number),
            summary: "Base".to_owned(),
            data_centres: self.standins.data_centres.clone(),
            organisations: vec![organisation("org-a"), organisation("org-b")],
            services: vec![Service {
                id: Deployment::Cordillera
                    .service()
                    .parse()
                    .expect("a valid name"),
                organisations: BTreeSet::new(),
                runner_slots: Slots(8),
                runner_connections: Slots(64),
            }],
            removed: Vec::new(),
        }
    }
}

/// An organisation without guarantees and with generous limits.
pub fn organisation(id: &str) -> Organisation {
    Organisation {
        id: id.parse().expect("a valid name"),
        weight: Weight(1),
        concurrency: Slots(1000),
        rate: RequestsPerSecond(100_000),
        guarantees: Vec::new(),
        key_digests: Vec::new(),
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for entry in self.entries.values_mut() {
            let _ = entry.child.kill();
            let _ = entry.child.wait();
        }
    }
}

fn parse_addresses(line: &str) -> Option<(SocketAddr, SocketAddr)> {
    let (_, rest) = line.split_once("listens on ")?;
    let (address, peer_address) = rest.split_once(", for peers on ")?;
    Some((
        address.trim().parse().ok()?,
        peer_address.trim().parse().ok()?,
    ))
}
