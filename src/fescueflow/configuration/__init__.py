"""Customer configuration: model, validation, store and dissemination."""

from fescueflow.configuration.dissemination import (
    BroadcastSpread,
    RelaySpread,
    SpreadStrategy,
    choose_readers,
)
from fescueflow.configuration.model import (
    Affinity,
    Configuration,
    Customer,
    Group,
    ModelRoute,
    Operation,
    ServiceRoute,
    describe_configuration,
    describe_customer,
    may_get_work,
)
from fescueflow.configuration.parsing import (
    SectionCache,
    make_manifest,
    parse_configuration,
    read_manifest,
)
from fescueflow.configuration.recovery import PEERS_ASKED
from fescueflow.configuration.service import ConfigurationService
from fescueflow.configuration.store import ConfigurationStore

__all__ = [
    "PEERS_ASKED",
    "BroadcastSpread",
    "ConfigurationService",
    "ConfigurationStore",
    "RelaySpread",
    "SpreadStrategy",
    "choose_readers",
    "Affinity",
    "Configuration",
    "Customer",
    "Group",
    "ModelRoute",
    "Operation",
    "SectionCache",
    "ServiceRoute",
    "describe_configuration",
    "describe_customer",
    "make_manifest",
    "may_get_work",
    "parse_configuration",
    "read_manifest",
]
