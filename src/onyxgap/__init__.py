"""Fleet capacity and maintenance manager for teams that run their own VMs."""

from .exceptions import ConflictError as ConflictError
from .exceptions import DocumentError as DocumentError
from .exceptions import Fault as Fault
from .exceptions import FrameError as FrameError
from .exceptions import OnyxgapError as OnyxgapError
from .exceptions import PlatformUnavailableError as PlatformUnavailableError
from .exceptions import UnknownOutcomeError as UnknownOutcomeError
from .manifest import Manifest as Manifest
from .manifest import parse_manifest as parse_manifest
from .sentinels import Missing as Missing
from .settings import Settings as Settings
from .settings import load_settings as load_settings
from .verdict import Verdict as Verdict

__version__ = "0.1.0"
