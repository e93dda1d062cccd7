"""A hollow front's front, put together as `serve` puts them together: decisions, list, subscription. The one
place of the scale rig that knows the product's own constructors."""

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
LOG_SINK = open(os.devnull, "wb")  # noqa: SIM115 - as long as the process


class HollowPlace(NamedTuple):
    """A front by name, where it stands, and the chance it is given."""

    name: str
    zone: str
    rank: int
    zone_rank: int
    seed: int


class EmptyFront(NamedTuple):
    """What a front without clients consists of before it hears of any engine."""

    registry: EngineRegistry
    decisions: DecisionLoop
    metrics: Metrics
    log: Log
    config: front_config.Config


def settings(zones, zone, fronts):
    """A front's settings among so many zones and fronts."""
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
    """A front's configuration; read once for each zone, as hollow fronts share what never changes."""
    if place.zone not in CONFIGS:
        told = configuration(settings=settings(zones, place.zone, fronts))
        told["name"] = place.name
        CONFIGS[place.zone] = front_config.read(told, {})
    return CONFIGS[place.zone]


def make_empty_front(place, zones, fronts):
    """A front with its decisions and an empty list."""
    read = configuration_of(place, zones, fronts)
    metrics, log = Metrics(), Log(place.name, LOG_SINK)
    decisions = DecisionLoop(Front(read.settings, place.seed), read.settings.tick, Batches(), metrics, log)
    return EmptyFront(EngineRegistry(), decisions, metrics, log, read)


def make_subscription(front, place, terms):
    """A subscription to the distributors and the list that it keeps."""
    distributors = tuple((host, port) for host, port in terms["distributors"])
    subscription_terms = SubscriptionTerms(
        distributors, terms["heartbeat_s"], terms["patience_s"], place.seed
    )
    front_place = FrontIdentity(place.name, place.zone, place.rank, place.zone_rank)
    subscription = Subscription(subscription_terms, front_place, (), False, lambda listing: None)
    names = KnownNames(front.config.zones, front.config.kinds)
    SubscribedList(subscription, front.registry, lambda engine: None, front.decisions, names)
    return subscription
