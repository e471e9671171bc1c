// Reads and gathered writes on sockets that don't block.
#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <string>

#include "http/buffer.hpp"
#include "http/message.hpp"
#include "logic.hpp"
#include "util/address.hpp"

namespace curlewdoor::net {

// A socket that listens on `address` and does not block; port 0: one that the system gives. `bound` is where
// it listens. Below 0, `error` says why not.
int ListenOn(const Address& address, Address& bound, std::string& error);

// Bytes that the system holds for one connection, at most about so many each way. 0: its own bounds,
// megabytes.
struct SocketLimits {
  std::size_t receive = 0;  // arrived and not read
  std::size_t unsent = 0;   // taken from us and not sent yet; what is on its way comes on top
};
// Of a socket that listens: the connections that come to it have these limits from their beginning.
void LimitSocket(int socket, const SocketLimits& limits);
// How many connections may wait to be accepted.
void LimitBacklog(int listening_socket, int backlog);

// Whether `fd` is an open TCP socket that listens on `address`; it is set not to block. `error` says why not.
bool CheckInherited(int fd, const Address& address, std::string& error);

struct WriteResult {
  std::size_t written = 0;
  bool broken = false;
};

// Writes the pieces, behind what `rest` still holds; what the system does not take is added to `rest`.
WriteResult WritePieces(int fd, std::span<const iovec> pieces, http::Buffer& rest);
WriteResult FlushBuffer(int fd, http::Buffer& rest);

enum class ReadStatus { kBytes, kNothing, kEnd, kBroken };

// One read. kEnd: the other side has ended its sending. kBroken: the connection was reset or failed.
ReadStatus ReadInto(int fd, http::Buffer& buffer, std::size_t least = 2048);
inline bool Over(ReadStatus status) { return status == ReadStatus::kEnd || status == ReadStatus::kBroken; }
// The same for bytes that nobody wants.
ReadStatus Discard(int fd);
// What a read would meet now: bytes, nothing yet, the other side's end or a broken connection. Reads nothing.
ReadStatus Peek(int fd);

// Whoever closes this socket resets the connection: what was written and hasn't left is dropped, and not kept
// by the system until the other side reads it.
void ResetOnClose(int socket);

// Bytes that were written to a TCP socket and that the other side hasn't acknowledged; 0 where that isn't
// known.
std::size_t Unacknowledged(int socket);

// Whether the other side has ended its sending, or the connection is broken, whatever stands before that
// unread.
bool HasEnded(int socket);

// A TCP connection breaks where what was sent is not acknowledged for so long, and where the other side's
// machine is silent for about as long while nothing is sent (whole seconds: one at the least).
void LimitSilence(int socket, Duration longest);

// How long ago the last bytes came to a TCP socket, as the system has it, in steps of its clock (up to 10
// ms); nullopt: it does not say.
std::optional<Duration> SinceReceived(int socket);

}  // namespace curlewdoor::net
