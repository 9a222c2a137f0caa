use super::{EntryApi, FleetError, FleetTraffic, links::Links};
use crate::{Deployment, DeploymentSize, LinkState, StandinCluster};
use lycheeyard_protocol::{DataCentreId, Incarnation, Instance, InstanceRole, InstanceState};
use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
};

pub(super) const SERVICE: &str = "delay-maps";

/// Entry daemons as separate processes, which use stand-ins in this process.
///
/// Every data centre has its own instance list and its own links to the store, to the list and to the
/// entry processes of other data centres, so that each path can be interrupted on its own. Dropping the fleet kills the
/// processes.
#[derive(Debug)]
pub struct EntryFleet {
    /// The stand-ins that the entry processes use.
    pub standins: StandinCluster,
    program: PathBuf,
    links: Links,
    entries: BTreeMap<String, Entry>,
    incarnations: u64,
}

#[derive(Debug)]
struct Entry {
    child: Child,
    address: SocketAddr,
    peer_address: SocketAddr,
    data_centre: DataCentreId,
}

impl EntryFleet {
    /// Starts the stand-ins of the deployment [`Deployment::Cordillera`] and entry processes of the daemon at `program`:
    /// `counts[i]` processes in data centre `i`.
    ///
    /// # Errors
    /// Fails when a socket cannot be opened or a process ends before it listens.
    pub async fn start(program: PathBuf, counts: &[usize]) -> Result<Self, FleetError> {
        Self::start_sized(program, Deployment::Cordillera.size(), counts).await
    }

    /// Starts the stand-ins of a deployment of the given size, and entry processes as in [`Self::start`].
    ///
    /// # Errors
    /// Fails when a socket cannot be opened or a process ends before it listens.
    pub async fn start_sized(
        program: PathBuf,
        size: DeploymentSize,
        counts: &[usize],
    ) -> Result<Self, FleetError> {
        let standins = StandinCluster::start_sized(size, SERVICE).await?;
        let mut fleet = Self {
            links: Links::start(&standins).await?,
            standins,
            program,
            entries: BTreeMap::new(),
            incarnations: 0,
        };
        for (index, count) in counts.iter().enumerate() {
            let data_centre = fleet.standins.data_centres[index].id.clone();
            for number in 1..=*count {
                fleet
                    .start_entry(&format!("{data_centre}-e{number}"))
                    .await?;
            }
        }
        Ok(fleet)
    }

    /// The id of the first data centre.
    ///
    /// # Panics
    /// Panics when the deployment has no data centre.
    #[must_use]
    pub fn data_centre(&self) -> DataCentreId {
        self.standins.data_centres[0].id.clone()
    }

    /// Starts an entry process and adds it to the instance lists. Its name begins with the data centre, as in `dc1-e1`.
    ///
    /// # Errors
    /// Fails when the process cannot be started or ends before it listens.
    pub async fn start_entry(&mut self, name: &str) -> Result<(), FleetError> {
        self.incarnations += 1;
        let data_centre = name
            .split_once('-')
            .map_or(name, |(data_centre, _)| data_centre);
        let data_centre: DataCentreId = data_centre.parse()?;
        let process_error = |source| FleetError::Process {
            name: name.to_owned(),
            source,
        };
        let mut child = self
            .command(name, &data_centre)
            .spawn()
            .map_err(process_error)?;
        let not_listening = || FleetError::NotListening(name.to_owned());
        let stderr = child.stderr.take().ok_or_else(not_listening)?;
        let mut lines = BufReader::new(stderr).lines().map_while(Result::ok);
        let addresses = lines.by_ref().find_map(|line| parse_addresses(&line));
        let (address, peer_address) = addresses.ok_or_else(not_listening)?;
        // The pipe is read to its end, so that the process never blocks on writing its log.
        std::thread::spawn(move || lines.for_each(drop));
        let entry = Entry {
            child,
            address,
            peer_address,
            data_centre: data_centre.clone(),
        };
        self.entries.insert(name.to_owned(), entry);
        let instance = Instance {
            name: name.to_owned(),
            role: InstanceRole::Entry,
            data_centre,
            service: None,
            address,
            peer_address: Some(peer_address),
            incarnation: Incarnation(self.incarnations),
            state: InstanceState::Live,
        };
        self.links.list_entry(instance, peer_address).await
    }

    /// A client for the API of an entry process.
    ///
    /// # Errors
    /// Fails when no running process has the name.
    pub fn api(&self, name: &str) -> Result<EntryApi, FleetError> {
        Ok(EntryApi::new(self.entry(name)?.address))
    }

    /// The process id of an entry process.
    ///
    /// # Errors
    /// Fails when no running process has the name.
    pub fn process_id(&self, name: &str) -> Result<u32, FleetError> {
        Ok(self.entry(name)?.child.id())
    }

    /// The address for peers of an entry process.
    ///
    /// # Errors
    /// Fails when no running process has the name.
    pub fn peer_address(&self, name: &str) -> Result<SocketAddr, FleetError> {
        Ok(self.entry(name)?.peer_address)
    }

    /// The names of the running entry processes.
    #[must_use]
    pub fn names(&self) -> Vec<String> {
        self.entries.keys().cloned().collect()
    }

    /// The names of the running entry processes in a data centre.
    #[must_use]
    pub fn names_in(&self, data_centre: &str) -> Vec<String> {
        let in_data_centre = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.data_centre.as_str() == data_centre);
        in_data_centre.map(|(name, _)| name.clone()).collect()
    }

    /// Changes the links of a data centre to the store and to its instance list.
    pub fn set_platform_links(&self, data_centre: &str, state: LinkState) {
        self.links.set_platform(data_centre, state);
    }

    /// Changes the link of a data centre to the store only.
    pub fn set_store_links(&self, data_centre: &str, state: LinkState) {
        self.links.set_store(data_centre, state);
    }

    /// Changes the links in both directions between the entry processes of a data centre and those of all others.
    pub fn set_peer_links(&self, data_centre: &str, state: LinkState) {
        self.links.set_peers(data_centre, state);
    }

    /// Changes only the links from a data centre to the entry processes of all others, not the links back.
    pub fn set_outbound_peer_links(&self, data_centre: &str, state: LinkState) {
        self.links.set_outbound_peers(data_centre, state);
    }

    /// The bytes that have passed over the links until now.
    #[must_use]
    pub fn traffic(&self) -> FleetTraffic {
        self.links.traffic()
    }

    /// Kills an entry process without a graceful shutdown and removes it from the instance lists.
    ///
    /// # Errors
    /// Fails when no running process has the name.
    pub fn kill(&mut self, name: &str) -> Result<(), FleetError> {
        let mut entry = self.remove_entry(name)?;
        self.links.unlist_entry(name);
        let process_error = |source| FleetError::Process {
            name: name.to_owned(),
            source,
        };
        entry.child.kill().map_err(process_error)?;
        entry.child.wait().map_err(process_error)?;
        Ok(())
    }

    /// Sends a signal to an entry process, by the signal's name, such as `STOP`, `CONT` or `TERM`.
    ///
    /// # Errors
    /// Fails when no running process has the name or the signal cannot be sent.
    pub fn signal(&self, name: &str, signal: &str) -> Result<(), FleetError> {
        let pid = self.process_id(name)?.to_string();
        let sent = Command::new("kill")
            .args([&format!("-{signal}"), &pid])
            .status();
        sent.map(|_| ()).map_err(|source| FleetError::Process {
            name: name.to_owned(),
            source,
        })
    }

    /// Waits until an entry process exits and returns whether its exit status is 0.
    ///
    /// # Errors
    /// Fails when no running process has the name.
    pub async fn wait_for_exit(&mut self, name: &str) -> Result<bool, FleetError> {
        let mut entry = self.remove_entry(name)?;
        let ended = tokio::task::spawn_blocking(move || entry.child.wait()).await;
        let status = ended.unwrap_or_else(|err| Err(std::io::Error::other(err)));
        status
            .map(|status| status.success())
            .map_err(|source| FleetError::Process {
                name: name.to_owned(),
                source,
            })
    }

    fn command(&self, name: &str, data_centre: &DataCentreId) -> Command {
        let mut command = Command::new(&self.program);
        command
            .args(["--instance", name])
            .args(["--incarnation", &self.incarnations.to_string()])
            .args(["--data-centre", data_centre.as_str()])
            .args(["--listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0"])
            .args(["--store", &self.links.store(data_centre).to_string()])
            .args(["--instances", &self.links.list(data_centre).to_string()])
            .args(["--scheduler-lease-ms", "1500", "--drain-ms", "200"])
            .args(["--access", "open", "--log-filter", "info"])
            .env("NO_COLOR", "1")
            .stderr(Stdio::piped());
        command
    }

    fn entry(&self, name: &str) -> Result<&Entry, FleetError> {
        self.entries
            .get(name)
            .ok_or_else(|| FleetError::Unknown(name.to_owned()))
    }

    fn remove_entry(&mut self, name: &str) -> Result<Entry, FleetError> {
        self.entries
            .remove(name)
            .ok_or_else(|| FleetError::Unknown(name.to_owned()))
    }
}

impl Drop for EntryFleet {
    fn drop(&mut self) {
        for entry in self.entries.values_mut() {
            // A panic here would abort a test that is already failing and hide the reason.
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
