"""Second step of a call at the egress: the tenant whose key its request carries."""

from buckthornstage import errors
from buckthornstage.http import messages
from buckthornstage.mesh import header_codec
from buckthornstage.routing import routes


def identify(
    table: routes.RouteTable,
    codec: header_codec.HeaderCodec,
    request: messages.Request,
    route: routes.Route,
) -> routes.Tenant | None:
    """Tenant of a request; None without tenants, or on an exempt route without a known key.

    Raises CallError for a key that is missing, malformed or unknown in this version.
    """
    if not table.configuration.tenants:
        return None
    tenant = table.tenant_of(codec.api_key(request))
    if tenant is None and not route.is_auth_exempt:
        raise errors.CallError(errors.ErrorKind.UNKNOWN_API_KEY)
    return tenant
