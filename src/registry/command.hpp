// Commands that change the list, and their results.
#ifndef GATEWAY_REGISTRY_COMMAND_HPP_
#define GATEWAY_REGISTRY_COMMAND_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "registry/member.hpp"

namespace gateway::registry {

// The values are written to the log: they never change.
enum class Action : std::uint8_t {
  kRegister = 0,  // a new member, a new incarnation of a listed one, or new properties of it
  kDrain = 1,
  kUndrain = 2,  // ends a drain by operators
  kRemove = 3,
  kSetSize = 4,
  // Proposed by the service itself, when a lease expires or is renewed.
  kSuspect = 5,
  kRecover = 6,
  kExpire = 7
};

struct Command {
  Action action = Action::kRegister;
  // Identifies the request: a repetition gets the result of the first execution. Empty: none.
  std::string idempotency_key;
  bool by_operator = false;  // else by the member's own process
  Member member;             // `id` for all actions, `size` for kSetSize, all properties for kRegister
  // Preconditions. The command fails where the member changed after this revision, or where its process is
  // another one.
  std::optional<Revision> if_revision;
  std::optional<Incarnation> if_incarnation;

  bool operator==(const Command&) const = default;
};

// A member's request to extend its lease.
struct RenewalRequest {
  std::string id;
  Incarnation incarnation = 0;
};

enum class ErrorCode {
  kNone,
  kBadRequest,
  kUnknownMember,
  kUnknownCall,
  kStaleIncarnation,  // a later process of this member is known
  kAddressConflict,   // a process of the same start is listed at another address
  kRemoved,           // this very process was removed explicitly
  kChangedSince,      // the member changed after `if_revision`
  kKeyReused,         // the idempotency key was used for another request
  kOverloaded,        // nothing was written; the caller may retry later
  kStorageFailed,     // the write may or may not be durable; the caller may retry with the same key
  kUnreadable,        // for clients: the response has no known form
  kOther              // for clients: the service sent a code that this program does not know
};

struct Error {
  Error(ErrorCode error_code, std::string error_field, std::string error_message)
      : code(error_code), field(std::move(error_field)), message(std::move(error_message)) {}

  ErrorCode code;
  std::string field;  // of the request that is at fault; empty: none
  std::string message;
  std::string other_code;  // the code as received, for kOther
};

// Result of a command: an error, or the revision that holds the result.
struct CommandResult {
  std::optional<Error> error;
  Revision revision = 0;  // made by the command, or the newest where nothing had to change
  bool changed = false;

  bool ok() const { return !error.has_value(); }
  ErrorCode code() const { return error ? error->code : ErrorCode::kNone; }

  static CommandResult Changed(Revision revision) { return {std::nullopt, revision, true}; }
  static CommandResult Unchanged(Revision revision) { return {std::nullopt, revision, false}; }
  static CommandResult Failed(Error error) { return {std::move(error), 0, false}; }
};

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_COMMAND_HPP_
