// The clients' side on sockets: a pool of connections to each gateway; a request takes one that is free or
// opens another. Nothing is decided here beyond what the platform's protocol says a client does.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "net/connection.hpp"
#include "util/address.hpp"

namespace curlewdoor::playing {

enum class ClientEnd { kAnswered, kNotReached, kBroken };

struct ClientAnswer {
  ClientEnd end = ClientEnd::kAnswered;
  int status = 0;
  std::string_view body;  // lasts for the call
  std::string_view retry_after;
};

class SocketClients {
 public:
  using Tag = std::uint64_t;
  struct Handler {
    std::function<void(Tag)> on_written;  // to the last byte, on a connection that was accepted
    std::function<void(Tag, const ClientAnswer&)> on_end;
  };

  SocketClients(struct ev_loop* loop, const Address& gateway, net::Descriptors& descriptors, Handler handler);
  ~SocketClients();

  // `text` gives the whole request; asked for anew where it is sent once more, since less of its time is
  // left.
  using Text = std::function<std::string()>;
  void Ask(Tag tag, Text text);
  // The client leaves.
  void Drop(Tag tag);
  void CloseAll();
  // To be called now and then: frees what has ended.
  void Reap() { ended_.clear(); }
  std::size_t connections() const { return lines_.size(); }

 private:
  struct Line final : net::Connection::Owner {
    Line(SocketClients& owner, struct ev_loop* loop) : clients(owner), connection(loop, *this) {}
    void OnUp(net::Connection&) override { clients.OnUp(*this); }
    void OnWritten(net::Connection&) override { clients.OnWritten(*this); }
    void OnAnswer(net::Connection&, const http::Message& answer) override { clients.OnAnswer(*this, answer); }
    bool Expects() const override { return tag.has_value(); }
    void OnBroken(net::Connection&) override { clients.OnBroken(*this); }

    SocketClients& clients;
    net::Connection connection;
    std::list<std::unique_ptr<Line>>::iterator self;
    std::optional<Tag> tag;  // of the request that it carries
    Text ask;
    std::string text;
    bool was_up = false, written = false, used = false, again = false;
  };

  void Begin(Line& line, Tag tag, Text ask);
  Line* Open();
  void OnUp(Line& line);
  void OnWritten(Line& line);
  void OnAnswer(Line& line, const http::Message& answer);
  void OnBroken(Line& line);
  void Retire(Line& line);

  struct ev_loop* loop_;
  const Address gateway_;
  net::Descriptors& descriptors_;
  const Handler handler_;
  std::list<std::unique_ptr<Line>> lines_, ended_;
  std::vector<Line*> idle_;
  std::unordered_map<Tag, Line*> by_tag_;
};

}  // namespace curlewdoor::playing
