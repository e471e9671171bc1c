// Which connections go first when descriptors or memory run out. Pure: states go in, a choice comes out.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "memory/account.hpp"

namespace curlewdoor::memory {

// Bytes that are to be freed because the account is over its limit, and a little more; 0: it isn't.
std::size_t ExcessOf(const Account& account);

enum class Phase : std::uint8_t {
  kIdle,       // nothing of a request has come
  kReceiving,  // a request, or its body, is not whole
  kServing,    // it waits for an answer of ours
  kSending,    // its answer is here and it doesn't take it
  kClosing     // it has all that it gets
};

struct ConnectionState {
  Phase phase = Phase::kIdle;
  bool served = false;         // it has had an answer before
  bool too_far_ahead = false;  // it is read no more, so much stands behind its request: its end can't be seen
  bool repeats = false;        // whoever waits here too long asks elsewhere: it may go while it is served
  std::chrono::nanoseconds waited{};  // how long the phase has lasted, or since bytes moved in it
  std::size_t held = 0;               // bytes
};

// The one that goes for a new connection: first those that never asked, then those that keep a request or an
// answer waiting, then idle ones that were served, those that are too far ahead, and those that are sending
// or reading, the one that has waited longest each time. Those that have just come, and whose request may be
// on its way, don't go, nor those that wait for an answer of ours, unless they repeat. nullopt: none goes.
std::optional<std::size_t> ChooseForDescriptor(std::span<const ConnectionState> connections);

// Those that go to free at least `excess` bytes, in their order: whoever holds most goes first, and of those
// that hold as much the one that has waited longest. All of them, if that is too little.
std::vector<std::size_t> ChooseForMemory(std::span<const ConnectionState> connections, std::size_t excess);

// Closes those of the connections that go because the account is over its limit. `state_of` gives the state
// of one, `close` closes it; it may be called for one that the closing of another has closed.
template <typename Connection, typename StateOf, typename Close>
void RelieveMemory(const Account& account, const std::vector<Connection*>& connections, StateOf&& state_of,
                   Close&& close) {
  const std::size_t excess = ExcessOf(account);
  if (excess == 0) return;
  std::vector<ConnectionState> states;
  states.reserve(connections.size());
  for (const Connection* connection : connections) states.push_back(state_of(*connection));
  for (const std::size_t chosen : ChooseForMemory(states, excess)) close(*connections[chosen]);
}

}  // namespace curlewdoor::memory
