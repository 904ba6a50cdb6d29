"""Customer configuration: model, validation, store and dissemination."""

from fescueflow.configuration.dissemination import (
    BroadcastDissemination,
    DisseminationStrategy,
    RelayDissemination,
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
    accepts_new_requests,
    describe_configuration,
    describe_customer,
)
from fescueflow.configuration.parsing import (
    SectionCache,
    make_manifest,
    parse_configuration,
    read_manifest,
)
from fescueflow.configuration.recovery import RECOVERY_PEERS_MAX
from fescueflow.configuration.service import ConfigurationService
from fescueflow.configuration.store import ConfigurationStore

__all__ = [
    "RECOVERY_PEERS_MAX",
    "BroadcastDissemination",
    "ConfigurationService",
    "ConfigurationStore",
    "RelayDissemination",
    "DisseminationStrategy",
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
    "accepts_new_requests",
    "parse_configuration",
    "read_manifest",
]
