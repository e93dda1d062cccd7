"""Builds a hollow front as `serve` builds a front: decisions, engine list and subscription, without clients.
The only module of the scale rig that calls the constructors of these components."""

import os
from typing import NamedTuple

from thistlelever.admission.decide import Front
from thistlelever.carrier.decision_loop import DecisionLoop
from thistlelever.carrier.subscribed_list import KnownNames, SubscribedList
from thistlelever.carrier.subscription import Subscription, SubscriptionTerms
from thistlelever.ground import config as front_config
from thistlelever.ground.log import Log
from thistlelever.ground.metrics import Metrics
from thistlelever.standins.configuration import SETTINGS, configuration
from thistlelever.store.batches import Batches
from thistlelever.store.engine_registry import EngineRegistry
from thistlelever.subsetting import FrontIdentity

KINDS = ("std", "large")
KIND_CORES, KIND_MEMORY_MB = (16, 32), (32768.0, 65536.0)
LOG_SINK = open(os.devnull, "wb")  # noqa: SIM115 - open until the process ends


class HollowPlace(NamedTuple):
    """The name, zone, rank and random seed of a front."""

    name: str
    zone: str
    rank: int
    zone_rank: int
    seed: int


class EmptyFront(NamedTuple):
    """The components of a front without clients and with an empty engine list."""

    registry: EngineRegistry
    decisions: DecisionLoop
    metrics: Metrics
    log: Log
    config: front_config.Config


def settings(zones, zone, fronts):
    """The settings of a front in `zone`, given all zones and the number of fronts."""
    family = SETTINGS["FamilyInfo"] | {
        "KindCores": list(KIND_CORES),
        "MemoryByKindMb": list(KIND_MEMORY_MB),
    }
    return SETTINGS | {
        "Balancers": fronts,
        "FailureDomains": list(zones),
        "MyZone": zone,
        "Kinds": list(KINDS),
        "FamilyInfo": family,
    }


CONFIGS = {}


def configuration_of(place, zones, fronts):
    """A front's configuration; read once for each zone, as the hollow fronts of a process share it."""
    if place.zone not in CONFIGS:
        values = configuration(settings=settings(zones, place.zone, fronts))
        values["name"] = place.name
        CONFIGS[place.zone] = front_config.read(values, {})
    return CONFIGS[place.zone]


def make_empty_front(place, zones, fronts):
    """A front with its decision loop and an empty engine list."""
    config = configuration_of(place, zones, fronts)
    metrics, log = Metrics(), Log(place.name, LOG_SINK)
    decisions = DecisionLoop(
        Front(config.settings, place.seed), config.settings.tick, Batches(), metrics, log
    )
    return EmptyFront(EngineRegistry(), decisions, metrics, log, config)


def make_subscription(front, place, terms):
    """A subscription to the distributors in `terms`, which writes into the engine list of `front`."""
    distributors = tuple((host, port) for host, port in terms["distributors"])
    subscription_terms = SubscriptionTerms(
        distributors, terms["heartbeat_s"], terms["patience_s"], place.seed
    )
    front_place = FrontIdentity(place.name, place.zone, place.rank, place.zone_rank)
    subscription = Subscription(subscription_terms, front_place, (), False, lambda listing: None)
    names = KnownNames(front.config.zones, front.config.kinds)
    SubscribedList(subscription, front.registry, lambda engine: None, front.decisions, names)
    return subscription
