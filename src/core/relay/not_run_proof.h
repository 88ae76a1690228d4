/// @file
/// Proof that a request has not run in one attempt.
#pragma once

#include <optional>

#include "core/relay/response_owner.h"

namespace workshatch::relay {

/// What the head of a response says about the run of a request.
struct ResponseStatement {
  unsigned status = 0;
  ResponseOwner owner = ResponseOwner::Unknown;
  /// The response has the header with which its sender declares that the request was not run there.
  bool says_not_run = false;
};

/// Proof that a request has not run in one attempt at a runner or at another relay, and that it
/// will not run through that attempt.
///
/// A request that must run at most once may be sent again, and its caller may be told that it has
/// not run, only with such a proof. Proofs are made by this class alone. Without one, a request
/// that was sent may have run, whatever its response or the end of its connection suggests.
///
/// Guarantee: a proof exists only if
/// - no byte of the request was written to a connection, or
/// - a response that names this request, and no other one, declares so: a runner's by its header or
///   by status 421, another relay's by its header. A success never declares so.
///
/// Requires that the request is sent to each address once: otherwise a second copy of the refusal
/// of an earlier arrival may stand in the place of the response to a later one.
///
/// Immutable. Performs no I/O.
class NotRunProof {
public:
  enum class Basis {
    /// Nothing was written to a connection.
    Unsent,
    /// The runner declined the request.
    Declined,
    /// The request is addressed to another runner than the one that got it.
    Misdirected,
    /// Another relay refused the request.
    RefusedByRelay,
  };

  /// @param sent whether a byte of the request may have been written to a connection
  static std::optional<NotRunProof> ofUnsent(bool sent);
  static std::optional<NotRunProof> ofRunner(const ResponseStatement& response);
  static std::optional<NotRunProof> ofRelay(const ResponseStatement& response);

  Basis basis() const { return basis_; }

private:
  explicit NotRunProof(Basis basis) : basis_(basis) {}

  Basis basis_;
};

/// @return the name in logs; "none" without a proof.
const char* nameOf(const std::optional<NotRunProof>& proof);

/// @return whether a response with this status promises its caller that the request has not run.
bool promisesNotRun(unsigned status);

} // namespace workshatch::relay
