/// @file
/// Switches for the mechanisms by which a relay chooses runners, retries and rejects requests. Each
/// can be turned off by itself to measure its effect (scripts/ablation.sh).
#pragma once

namespace workshatch::relay {

/// Members of the setting "policy". They are on by default unless stated otherwise.
struct Policy {
  /// Prompts go to the runners that rank first for their shared prefix; off: to the least loaded
  /// runner.
  bool prompt_homes = true;
  /// A prompt names a runner from which the engine can copy cached prefixes.
  bool fetch_cached_parts = true;
  /// One relay keeps the directory of the engines that have a prefix cached, and names the source;
  /// off: each relay relies on what it sent itself and on the ranking.
  bool part_directory = true;
  /// A relay detects that it has lost its network path to the runners of a service, says so, and
  /// forwards requests for them to relays that have one; off: it tries one runner after another.
  bool peer_forwarding = true;
  /// A stream goes on only at runners of the version that began it, and is refused if nobody knows
  /// that version; off: at any runner of the service.
  bool stream_versions = true;
  /// Requests of the other relays are included in a runner's load.
  bool shared_loads = true;
  /// Runners that two relays report as suspects are avoided by all relays.
  bool shared_suspicions = true;
  /// Runners that fail or can't be reached are avoided for some time.
  bool hold_downs = true;
  /// Runners that send nothing while requests are in progress are avoided, and requests that may be
  /// retried move to another runner.
  bool silence_limits = true;
  /// Among equally loaded runners, one in the relay's own zone is chosen.
  bool own_zone_first = true;
  /// Runners are filled up to their slot limits only; off: every request is sent.
  bool place_limits = true;
  /// One relay, the slot owner of a runner, counts the requests of all relays there and grants
  /// slots; off: each relay relies on load totals.
  bool place_owners = true;
  /// Slot owners also count the KV cache tokens and the unread prompt tokens of model engines, and
  /// refuse prompts that do not fit or would start late; off: requests only.
  bool engine_load = true;
  /// A plain runner gets requests as long as their expected time, by the service times that slot
  /// owners measure, is within a limit, and runners that fail more requests than the others are
  /// avoided; off: only the number of requests for each slot is limited.
  bool service_times = true;
  /// Cold runners get no more requests than their sustainable rate allows.
  bool cold_pace = true;
  /// Requests during which three runners crashed are not sent to any further runner.
  bool quarantine = true;
  /// Relays share the free slots of a busy runner between two load totals.
  bool shared_places = true;
  /// On a busy fleet, prompts go only to a few of the runners that rank first for them.
  bool few_homes = true;
  /// Requests wait for a short time for a free slot. Off by default: on days of overload, relays
  /// that reject at once reject fewer requests, and fewer are served late (docs/DECISIONS.md).
  bool waiting_line = false;
  /// Rejected callers are asked to retry at the rate at which the service can serve them; off:
  /// after a fixed time.
  bool paced_returns = true;
  /// The size of a request is taken from the figures of its caller and from recent requests; off:
  /// it is unknown.
  bool request_demand = true;
  /// Slots are reserved for more urgent priorities by how common these are; off: the same number of
  /// slots for each of them.
  bool priority_shares = true;
  /// On a busy fleet, tenants over their share leave slots to others.
  bool tenant_shares = true;
  /// At a relay that has just started, requests wait for a short time for its first lease.
  bool first_lease_wait = true;
  /// Callers get longer address lifetimes while relays are silent.
  bool address_lifetimes = true;
  /// The relay forwards retries only within the retry budget; off: no retries at all.
  bool repeats = true;
};

} // namespace workshatch::relay
