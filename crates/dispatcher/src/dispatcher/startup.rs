//! Startup: creates a dispatcher with bound sockets from a valid configuration. No connection is accepted before the
//! first round.

use super::{Dispatcher, StartRetry};
use crate::cli::GlobalArgs;
use crate::client::{AdmissionLimits, ClientFrontend};
use crate::clock::{Clock, WallClock};
use crate::config::{PeerAddresses, StartupConfig};
use crate::discovery::{self, EndpointDirectory};
use crate::engine::{ConnectionSettings, EnginePool};
use crate::guard::{Guard, GuardRules};
use crate::lifecycle::Phase;
use crate::operator_config::{check_against_settings, OperatorConfigErrors};
use crate::peers::Peers;
use crate::query_registry::{Event, QueryRegistry};
use crate::subsystems::fleet::{FleetService, FleetStartError};
use crate::subsystems::service_levels::{ResourceLimits, ServiceLevels};
use crate::subsystems::statement_classifier::StatementClassifier;
use crate::subsystems::zone_routing::ZoneRouting;
use crate::subsystems::Subsystems;
use async_executor::{LocalExecutor, Task};
use async_io::Async;
use std::cell::Cell;
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::rc::Rc;
use tansymux::control::Control;
use tansymux::events::EndpointListKind;
use tansymux::pcg::Pcg;
use tansymux::settings::{Settings, SettingsError};
use tansymux_operator_config::Operator;

/// Salt that is mixed into the seed for the hash key of shapes, so that the key is independent of other random numbers
/// from that seed.
const SHAPE_KEY_SALT: u64 = 0x5DEE_CE66_D1CE_B00C;

/// An error that ends the startup.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The operators' file contradicts the settings.
    #[error("the operators' file: {0}")]
    OperatorConfig(OperatorConfigErrors),
    /// The admission controller rejects the settings.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// The address for messages of other dispatchers cannot be bound.
    #[error("peer_listen {address}: {source}")]
    Peers {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The fleet service cannot start.
    #[error(transparent)]
    Fleet(#[from] FleetStartError),
    /// The address for clients cannot be bound.
    #[error("listen {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
}

impl Dispatcher {
    /// Binds all sockets and spawns the tasks that run concurrently with the driver.
    ///
    /// # Errors
    /// The operators' file contradicts the settings, the settings are invalid, or an address cannot be bound.
    pub fn start(
        config: StartupConfig,
        operator: &Operator,
        common: GlobalArgs,
        executor: Rc<LocalExecutor<'static>>,
        retry: StartRetry,
    ) -> Result<Self, StartError> {
        check_against_settings(operator, &config.settings).map_err(StartError::OperatorConfig)?;
        let settings = Rc::new(Settings::read(&config.settings)?);
        let mut control = Control::new(config.seed, &config.settings)?;
        let mut launcher = Launcher::new(&config, &settings, executor, retry);
        let engines = launcher.new_engine_pool(config.connection_settings);
        let mut subsystems = new_subsystems(&config, &settings);
        subsystems.reconfigure(operator, launcher.clock.now(), &mut control);
        let clients = launcher.new_client_frontend(config.admission, &subsystems);
        let peers = launcher.start_peers(config.peers)?;
        subsystems.fleet = launcher.start_fleet(operator, &settings, config.seed)?;
        let resolver = Rc::new(Cell::new(config.resolver));
        launcher.start_discovery(config.directory, resolver.clone(), config.seed);
        launcher.start_listener(&clients, config.listen)?;
        Ok(Dispatcher {
            phase: Phase::Starting,
            clock: launcher.clock,
            registry: launcher.registry,
            control,
            clients,
            engines,
            peers,
            subsystems,
            max_descriptors: config.max_descriptors,
            tasks: launcher.tasks,
            shutdown_grace_ms: config.shutdown_grace_ms,
            startup_source: config.source,
            settings: config.settings,
            resolver,
            common,
            timer_ms: f64::INFINITY,
        })
    }
}

/// Creates the client side and the engine side, and spawns the tasks that run concurrently with the driver.
struct Launcher {
    clock: Clock,
    registry: Rc<QueryRegistry>,
    executor: Rc<LocalExecutor<'static>>,
    retry: StartRetry,
    /// The tasks spawned so far.
    tasks: Vec<Task<()>>,
}

impl Launcher {
    /// Starts the program's clock and creates the query registry. Spawns no task.
    fn new(
        config: &StartupConfig,
        settings: &Settings,
        executor: Rc<LocalExecutor<'static>>,
        retry: StartRetry,
    ) -> Self {
        let clock = Clock::start();
        let guard = Guard::new(GuardRules::of(settings));
        let registry = QueryRegistry::new(config.query_memory, guard, clock);
        Launcher {
            clock,
            registry: Rc::new(registry),
            executor,
            retry,
            tasks: Vec::new(),
        }
    }

    /// Creates the engine side, without connections.
    fn new_engine_pool(&self, settings: ConnectionSettings) -> Rc<EnginePool> {
        EnginePool::new(
            self.registry.clone(),
            self.clock,
            self.executor.clone(),
            settings,
        )
    }

    /// Creates the client side, without its listener.
    fn new_client_frontend(
        &self,
        limits: AdmissionLimits,
        subsystems: &Subsystems,
    ) -> Rc<ClientFrontend> {
        Rc::new(ClientFrontend::new(
            self.registry.clone(),
            self.clock,
            limits,
            subsystems.statements.clone(),
            subsystems.levels.clone(),
            subsystems.zones.clone(),
        ))
    }

    fn spawn(&mut self, task: impl Future<Output = ()> + 'static) {
        self.tasks.push(self.executor.spawn(task));
    }

    /// Starts the message exchange with other dispatchers, if the configuration has an address for it.
    fn start_peers(
        &mut self,
        addresses: Option<PeerAddresses>,
    ) -> Result<Option<Rc<Peers>>, StartError> {
        let Some(addresses) = addresses else {
            return Ok(None);
        };
        let address = addresses.listen;
        let registry = self.registry.clone();
        let socket = self
            .retry
            .run("peer_listen", || Async::<UdpSocket>::bind(address))
            .map_err(|source| StartError::Peers { address, source })?;
        let peers = Peers::new(registry, socket, addresses.peers, addresses.broadcast);
        self.spawn(peers.clone().listen());
        Ok(Some(peers))
    }

    /// Starts this dispatcher's membership of a fleet, if the operators' file defines a fleet.
    fn start_fleet(
        &mut self,
        operator: &Operator,
        settings: &Rc<Settings>,
        seed: u64,
    ) -> Result<Option<Rc<FleetService>>, StartError> {
        let registry = self.registry.clone();
        let definition = operator.fleet.as_ref();
        let bind = |address| {
            self.retry
                .run("fleet.listen", || Async::<UdpSocket>::bind(address))
        };
        let fleet = FleetService::start(definition, settings, self.clock, registry, seed, bind)?;
        if let Some(fleet) = &fleet {
            self.spawn(fleet.clone().run());
        }
        Ok(fleet)
    }

    /// Queues the configuration's endpoint list as the first event, and starts polling the name service.
    fn start_discovery(
        &mut self,
        mut directory: EndpointDirectory,
        resolver: Rc<Cell<Option<SocketAddr>>>,
        seed: u64,
    ) {
        directory.set_wall_clock(WallClock::new(self.clock));
        self.registry.push_event(Event::EndpointList {
            kind: EndpointListKind::Cached,
            endpoints: directory.endpoints(),
        });
        let registry = self.registry.clone();
        self.spawn(discovery::run(registry, resolver, directory, seed as u16));
    }

    /// Binds the address for clients. This is the last step, so that no client connects to a program whose startup
    /// fails.
    fn start_listener(
        &mut self,
        clients: &Rc<ClientFrontend>,
        address: SocketAddr,
    ) -> Result<(), StartError> {
        let listener = self
            .retry
            .run("listen", || Async::<TcpListener>::bind(address))
            .map_err(|source| StartError::Listen { address, source })?;
        let executor = self.executor.clone();
        self.spawn(clients.clone().accept(listener, executor));
        Ok(())
    }
}

/// Creates all subsystems, disabled until they are configured.
fn new_subsystems(config: &StartupConfig, settings: &Rc<Settings>) -> Subsystems {
    let limits = ResourceLimits {
        memory_bytes: config.max_memory_bytes,
        descriptors: config.max_descriptors,
    };
    let hash_key = shape_hash_key(config.seed);
    Subsystems {
        statements: Rc::new(StatementClassifier::new(
            settings,
            config.engine_warm_up_ms,
            hash_key,
        )),
        levels: Rc::new(ServiceLevels::new(settings, limits)),
        zones: Rc::new(ZoneRouting::new(settings)),
        fleet: None,
    }
}

/// Returns the secret hash key of shapes, derived from the seed of this process.
fn shape_hash_key(seed: u64) -> [u8; 16] {
    let mut rng = Pcg::new(seed ^ SHAPE_KEY_SALT);
    std::array::from_fn(|_| rng.below(256) as u8)
}
