// Handles one request from its arrival to its response, using only the public header.
#include <gateway/policy.hpp>
#include <iostream>

int main() {
  using namespace gateway::policy;
  Settings settings;
  TrafficClassSettings page;
  page.name = "page";
  page.latency_objective = 500;  // ms
  page.deadline = 2000;          // ms
  page.idempotency = Idempotency::kIdempotent;
  settings.classes.push_back(page);

  Policy policy(settings, /*seed=*/42);
  std::vector<Action> actions;

  EndpointInfo server;
  server.id = "10.0.0.7:8080";
  // The first argument of Handle() is the current time in ms.
  policy.Handle(0, EndpointListEvent{EndpointListEvent::Kind::kSnapshot, {server}}, actions);

  Request request;
  request.id = "r1";
  request.class_name = "page";
  request.time_left = 1000;  // ms
  actions.clear();
  policy.Handle(5, request, actions);
  for (const Action& action : actions) {
    if (const auto* send = std::get_if<Send>(&action)) {
      std::cout << "send " << send->request << " to " << send->endpoint << "\n";
      AttemptOutcome outcome;  // the gateway reports it to the policy after the server has responded
      outcome.request = send->request;
      outcome.endpoint = send->endpoint;
      outcome.result = AttemptResult::kServed;
      outcome.request_finished = true;
      outcome.latency = 31;  // ms
      std::vector<Action> further_actions;
      policy.Handle(36, outcome, further_actions);
      std::cout << "served\n";
      return 0;
    }
  }
  return 1;
}
