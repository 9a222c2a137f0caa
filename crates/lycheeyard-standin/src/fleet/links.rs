use super::FleetError;
use crate::{Link, LinkState, ListStandin, StandinCluster};
use lycheeyard_protocol::{DataCentreId, Instance, InstanceRole};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

const LIST_LAG: Duration = Duration::from_millis(500);

/// The bytes that a fleet's links have forwarded, both directions together.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FleetTraffic {
    /// Between entry processes and the store.
    pub store: u64,
    /// Between entry processes and the instance lists.
    pub list: u64,
    /// Between entry processes.
    pub peers: u64,
    /// Between entry processes and workers.
    pub workers: u64,
}

/// The links of each data centre to the platform and to all entry processes.
#[derive(Debug)]
pub(super) struct Links {
    by_data_centre: BTreeMap<DataCentreId, DataCentreLinks>,
}

/// The instance list of one data centre and the links that its processes use.
#[derive(Debug)]
struct DataCentreLinks {
    store: Link,
    list_link: Link,
    list: ListStandin,
    peers: BTreeMap<String, PeerLink>,
    workers: Vec<Link>,
}

#[derive(Debug)]
struct PeerLink {
    target: DataCentreId,
    link: Link,
}

impl Links {
    /// Starts a list and links for each data centre of the stand-ins.
    pub async fn start(standins: &StandinCluster) -> Result<Self, FleetError> {
        let mut by_data_centre = BTreeMap::new();
        for data_centre in &standins.data_centres {
            let list = ListStandin::start(LIST_LAG).await?;
            let mut workers = Vec::new();
            for mut instance in standins.list.present() {
                if instance.role == InstanceRole::Worker && instance.data_centre == data_centre.id {
                    let link = Link::start(instance.address).await?;
                    instance.address = link.address();
                    workers.push(link);
                }
                list.put(instance);
            }
            let links = DataCentreLinks {
                store: Link::start(standins.store.address()).await?,
                list_link: Link::start(list.address()).await?,
                list,
                peers: BTreeMap::new(),
                workers,
            };
            by_data_centre.insert(data_centre.id.clone(), links);
        }
        Ok(Self { by_data_centre })
    }

    /// The address of the data centre's link to the store.
    pub fn store(&self, data_centre: &DataCentreId) -> SocketAddr {
        self.by_data_centre[data_centre].store.address()
    }

    /// The address of the data centre's link to its instance list.
    pub fn list(&self, data_centre: &DataCentreId) -> SocketAddr {
        self.by_data_centre[data_centre].list_link.address()
    }

    /// Adds an entry process to the list of every data centre, each with its own link to the process.
    pub async fn list_entry(
        &mut self,
        instance: Instance,
        peer_address: SocketAddr,
    ) -> Result<(), FleetError> {
        for links in self.by_data_centre.values_mut() {
            let link = Link::start(peer_address).await?;
            let mut listed = instance.clone();
            listed.peer_address = Some(link.address());
            let target = instance.data_centre.clone();
            links
                .peers
                .insert(instance.name.clone(), PeerLink { target, link });
            links.list.put(listed);
        }
        Ok(())
    }

    /// Removes an entry process from every list.
    pub fn unlist_entry(&mut self, name: &str) {
        for links in self.by_data_centre.values_mut() {
            links.list.remove(name);
            links.peers.remove(name);
        }
    }

    /// Changes the links of a data centre to the store and to its list.
    pub fn set_platform(&self, data_centre: &str, state: LinkState) {
        self.set_store(data_centre, state);
        self.links_of(data_centre)
            .for_each(|(_, links)| links.list_link.set(state));
    }

    /// Changes the link of a data centre to the store.
    pub fn set_store(&self, data_centre: &str, state: LinkState) {
        self.links_of(data_centre)
            .for_each(|(_, links)| links.store.set(state));
    }

    /// Changes the links in both directions between the entry processes of a data centre and those of all others.
    pub fn set_peers(&self, data_centre: &str, state: LinkState) {
        self.set_outbound_peers(data_centre, state);
        let others = self
            .by_data_centre
            .iter()
            .filter(|(id, _)| id.as_str() != data_centre);
        let inbound = others.flat_map(|(_, links)| links.peers.values());
        inbound
            .filter(|peer| peer.target.as_str() == data_centre)
            .for_each(|peer| peer.link.set(state));
    }

    /// Changes the links from a data centre to the entry processes of all others.
    pub fn set_outbound_peers(&self, data_centre: &str, state: LinkState) {
        let outbound = self
            .links_of(data_centre)
            .flat_map(|(_, links)| links.peers.values());
        outbound
            .filter(|peer| peer.target.as_str() != data_centre)
            .for_each(|peer| peer.link.set(state));
    }

    /// The bytes forwarded so far.
    pub fn traffic(&self) -> FleetTraffic {
        let total = |link: &Link| link.bytes().forward + link.bytes().backward;
        let mut traffic = FleetTraffic::default();
        for links in self.by_data_centre.values() {
            traffic.store += total(&links.store);
            traffic.list += total(&links.list_link);
            traffic.workers += links.workers.iter().map(total).sum::<u64>();
            traffic.peers += links
                .peers
                .values()
                .map(|peer| total(&peer.link))
                .sum::<u64>();
        }
        traffic
    }

    fn links_of<'a>(
        &'a self,
        data_centre: &'a str,
    ) -> impl Iterator<Item = (&'a DataCentreId, &'a DataCentreLinks)> {
        self.by_data_centre
            .iter()
            .filter(move |(id, _)| id.as_str() == data_centre)
    }
}
