/// @file
/// Which mechanisms decide how a relay chooses, repeats and refuses. Each can be turned off by
/// itself, so that its worth can be measured (scripts/ablation.sh).
#pragma once

namespace workshatch::relay {

/// Settings of the member "policy"; on by default where nothing else is said.
struct Policy {
  /// Prompts go to the runners that rank first for their shared part; off: to the least loaded.
  bool prompt_homes = true;
  /// Engines are told a runner from which they can take cached parts of a prompt.
  bool fetch_cached_parts = true;
  /// One relay counts which engines keep a part of a prompt, and names the source; off: each relay
  /// goes by what it sent itself and by the ranking.
  bool part_directory = true;
  /// Requests of the other relays count in a runner's load.
  bool shared_loads = true;
  /// Runners that two relays suspect are avoided by all.
  bool shared_suspicions = true;
  /// Runners that fail or can't be reached are avoided for a while.
  bool hold_downs = true;
  /// Runners that fall silent with requests in progress are avoided, and repeatable requests leave
  /// them for another.
  bool silence_limits = true;
  /// Between runners that are equally loaded, one of the own zone is chosen.
  bool own_zone_first = true;
  /// Runners are filled up to their places only; off: whatever is asked is sent.
  bool place_limits = true;
  /// One relay counts what all have at a runner, and gives places there; off: each relay goes by
  /// sums of loads.
  bool place_owners = true;
  /// Cold runners get no more requests than they bear.
  bool cold_pace = true;
  /// Requests under which three runners ended reach no more of them.
  bool quarantine = true;
  /// What relays take of a busy runner between two sums is shared out.
  bool shared_places = true;
  /// On a busy fleet prompts go to few of the runners that rank for them.
  bool few_homes = true;
  /// Requests wait a moment for a place. Off by default: on overload days relays that refuse at
  /// once refuse fewer requests, and fewer are served late (docs/DECISIONS.md).
  bool waiting_line = false;
  /// Refused callers come back at the pace of the service; off: after a fixed time.
  bool paced_returns = true;
  /// Tenants that use more than their share leave places to others on a busy fleet.
  bool tenant_shares = true;
  /// Requests wait a moment for the first lease of a relay that has just started.
  bool first_lease_wait = true;
  /// Callers keep addresses for longer while relays are silent.
  bool address_lifetimes = true;
  /// The relay sends on repeats within the budget only; off: no repeats at all.
  bool repeats = true;
};

} // namespace workshatch::relay
