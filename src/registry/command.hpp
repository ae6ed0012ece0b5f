// Commands that change the list, and their results.
#ifndef GATEWAY_REGISTRY_COMMAND_HPP_
#define GATEWAY_REGISTRY_COMMAND_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "registry/member.hpp"

namespace gateway::registry {

// The values are written to the log and must never change.
enum class Action : std::uint8_t {
  kRegister = 0,  // adds a member, or updates the incarnation or the properties of a listed member
  kDrain = 1,
  kUndrain = 2,  // ends a drain by operators
  kRemove = 3,
  kSetSize = 4,
  // Only the service itself proposes the following actions: kSuspect and kExpire after a lease has expired,
  // kRecover when the lease of a suspect is renewed.
  kSuspect = 5,
  kRecover = 6,
  kExpire = 7
};

struct Command {
  Action action = Action::kRegister;
  // The idempotency key identifies the request: a repeated request gets the result of the first execution.
  // Empty if there is no key.
  std::string idempotency_key;
  bool by_operator = false;  // false if the member's own process sent the command
  // All actions use `id`. kSetSize also uses `size`, and kRegister uses all properties.
  Member member;
  // Preconditions. The command fails if the member changed after the revision `if_revision`, or if the
  // incarnation of the listed process is not `if_incarnation`.
  std::optional<Revision> if_revision;
  std::optional<Incarnation> if_incarnation;

  bool operator==(const Command&) const = default;
};

// Request of a member to extend its lease.
struct RenewalRequest {
  std::string id;
  Incarnation incarnation = 0;
};

enum class ErrorCode {
  kNone,
  kBadRequest,
  kUnknownMember,
  kUnknownCall,
  kStaleIncarnation,  // a later process of this member was listed
  kAddressConflict,   // a process with the same incarnation is listed at another address
  kRemoved,           // this process was removed explicitly
  kChangedSince,      // the member changed after `if_revision`
  kKeyReused,         // the idempotency key was used for another request
  kOverloaded,        // the request was not executed; the caller may retry later
  kStorageFailed,     // the write may or may not be durable; the caller may retry with the same key
  kUnreadable,        // set by clients: the response cannot be decoded
  kOther              // set by clients: the service sent an unknown code
};

struct Error {
  Error(ErrorCode error_code, std::string error_field, std::string error_message)
      : code(error_code), field(std::move(error_field)), message(std::move(error_message)) {}

  ErrorCode code;
  std::string field;  // invalid field of the request; empty if there is none
  std::string message;
  std::string other_code;  // for kOther: the code as received
};

// Result of a command: an error, or the revision that contains its effect.
struct CommandResult {
  std::optional<Error> error;
  // The revision that the command created. If the command changed nothing, a revision that already contains
  // its effect.
  Revision revision = 0;
  bool changed = false;

  bool ok() const { return !error.has_value(); }
  ErrorCode code() const { return error ? error->code : ErrorCode::kNone; }

  static CommandResult Changed(Revision revision) { return {std::nullopt, revision, true}; }
  static CommandResult Unchanged(Revision revision) { return {std::nullopt, revision, false}; }
  static CommandResult Failed(Error error) { return {std::move(error), 0, false}; }
};

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_COMMAND_HPP_
