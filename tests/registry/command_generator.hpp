// Generates random commands for property tests.
#ifndef GATEWAY_TESTS_REGISTRY_COMMAND_GENERATOR_HPP_
#define GATEWAY_TESTS_REGISTRY_COMMAND_GENERATOR_HPP_

#include <rapidcheck.h>

#include <string>

#include "registry/command.hpp"

namespace gateway::registry {

// Draws from a few ids, incarnations and addresses, so that several commands affect the same member.
inline rc::Gen<Command> AnyCommand() {
  return rc::gen::apply(
      [](int action, int id, int incarnation, int address, int key, int preconditions, int size,
         bool by_operator) {
        Command command;
        command.action = static_cast<Action>(action < 8 ? action : 0);
        command.member.id = "m" + std::to_string(id);
        command.by_operator = by_operator;
        if (command.action == Action::kRegister) {
          command.member.address = "10.0.0." + std::to_string(address) + ":80";
          command.member.incarnation = incarnation;
          command.member.lease_duration = 1000;
        }
        if (command.action == Action::kRegister || command.action == Action::kSetSize)
          command.member.size = size;
        if (key < 4) command.idempotency_key = "k" + std::to_string(key);
        if (preconditions & 1) command.if_revision = 100 + size * 3;
        if (preconditions & 2) command.if_incarnation = incarnation;
        return command;
      },
      rc::gen::inRange(0, 14), rc::gen::inRange(0, 4), rc::gen::inRange(0, 3), rc::gen::inRange(1, 3),
      rc::gen::inRange(0, 40), rc::gen::weightedElement<int>({{8, 0}, {1, 1}, {2, 2}}),
      rc::gen::inRange(1, 5), rc::gen::arbitrary<bool>());
}

}  // namespace gateway::registry

#endif  // GATEWAY_TESTS_REGISTRY_COMMAND_GENERATOR_HPP_
