#include "core/relay/stream_origin.h"

#include "core/routing/rendezvous.h"

namespace workshatch::relay {

StreamId streamIdOf(std::string_view tenant, std::string_view request_id) {
  return StreamId{.caller = routing::fingerprintOf(tenant),
                  .request = routing::fingerprintOf(request_id)};
}

} // namespace workshatch::relay
