// Random commands for property tests.
#ifndef GATEWAY_TESTS_REGISTRY_COMMAND_GENERATOR_HPP_
#define GATEWAY_TESTS_REGISTRY_COMMAND_GENERATOR_HPP_

#include <rapidcheck.h>

#include <string>

#include "registry/command.hpp"

namespace gateway::registry {

// Few ids, incarnations and addresses, so that commands concern the same members.
inline rc::Gen<Command> AnyCommand() {
  return rc::gen::apply(
      [](int action, int id, int start, int address, int key, int conditions, int size, bool by_operator) {
        Command c;
        c.action = static_cast<Action>(action < 8 ? action : 0);
        c.member.id = "m" + std::to_string(id);
        c.by_operator = by_operator;
        if (c.action == Action::kRegister) {
          c.member.address = "10.0.0." + std::to_string(address) + ":80";
          c.member.incarnation = start;
          c.member.lease_duration = 1000;
        }
        if (c.action == Action::kRegister || c.action == Action::kSetSize) c.member.size = size;
        if (key < 4) c.idempotency_key = "k" + std::to_string(key);
        if (conditions & 1) c.if_revision = 100 + size * 3;
        if (conditions & 2) c.if_incarnation = start;
        return c;
      },
      rc::gen::inRange(0, 14), rc::gen::inRange(0, 4), rc::gen::inRange(0, 3), rc::gen::inRange(1, 3),
      rc::gen::inRange(0, 40), rc::gen::weightedElement<int>({{8, 0}, {1, 1}, {2, 2}}),
      rc::gen::inRange(1, 5), rc::gen::arbitrary<bool>());
}

}  // namespace gateway::registry

#endif  // GATEWAY_TESTS_REGISTRY_COMMAND_GENERATOR_HPP_
