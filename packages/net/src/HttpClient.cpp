#include "ridgeferry/net/HttpClient.h"

#include "ClientConnection.h"

#include <map>
#include <ridgeferry/net/Address.h>
#include <unordered_map>
#include <vector>

namespace ridgeferry::net {

namespace {

using ConnectionPtr = std::unique_ptr<ClientConnection>;

/** One request on its way. */
struct Call
{
  HttpCallbacks m_callbacks;
  std::string m_address;
  std::size_t m_keepIdle = 0;
  ConnectionPtr m_connection; ///< Null: the address could not be read.
};

} // namespace

struct HttpClient::Impl
{
  explicit Impl(EventLoop& aLoop)
    : m_loop(aLoop)
  {
  }

  /** A kept connection that is fit, or a new one; null: a bad address. */
  ConnectionPtr Connect(const HttpRequest& aRequest)
  {
    std::vector<ConnectionPtr>& idle = m_idle[aRequest.m_address];
    while (!aRequest.m_fresh && !idle.empty()) {
      // The last one has rested least.
      if (idle.back()->RestedFor(m_loop.Now()) > aRequest.m_longestRest) {
        break;
      }
      ConnectionPtr kept = std::move(idle.back());
      idle.pop_back();
      if (kept->IsFit(m_loop.Now())) {
        return kept;
      }
      Retire(std::move(kept));
    }
    const auto address = Address::Parse(aRequest.m_address);
    return address ? std::make_unique<ClientConnection>(m_loop, *address)
                   : nullptr;
  }

  /** Connections end inside their own callbacks: they are freed after them. */
  void Retire(ConnectionPtr aConnection)
  {
    aConnection->Close();
    m_ended.push_back(std::move(aConnection));
    if (m_ended.size() > 1) {
      return; // A sweep is planned already.
    }
    Defer([this] { m_ended.clear(); });
  }

  void Defer(const sigc::slot<void()>& aSlot)
  {
    m_loop.Defer([aSlot, alive = std::weak_ptr<bool>(m_alive)] {
      if (!alive.expired()) {
        aSlot();
      }
    });
  }

  void Finish(HttpCallId aId, const ClientEnd& aEnd)
  {
    const auto found = m_calls.find(aId);
    if (found == m_calls.end()) {
      return;
    }
    Call call = std::move(found->second);
    m_calls.erase(found);
    if (aEnd.m_response.m_silent) {
      RetireIdle(call.m_address);
    }
    if (call.m_connection != nullptr) {
      Keep(call, aEnd.m_reusable);
    }
    call.m_callbacks.m_done(aEnd.m_response);
  }

  /** Other connections to that address may have gone silent as well: the next
   * requests open their own. */
  void RetireIdle(const std::string& aAddress)
  {
    for (ConnectionPtr& kept : std::exchange(m_idle[aAddress], {})) {
      Retire(std::move(kept));
    }
  }

  void Keep(Call& aCall, bool aReusable)
  {
    std::vector<ConnectionPtr>& idle = m_idle[aCall.m_address];
    std::erase_if(idle, [now = m_loop.Now()](const ConnectionPtr& aKept) {
      return !aKept->IsFit(now);
    });
    if (!aReusable || idle.size() >= aCall.m_keepIdle) {
      Retire(std::move(aCall.m_connection));
      return;
    }
    idle.push_back(std::move(aCall.m_connection));
  }

  EventLoop& m_loop;
  HttpCallId m_lastId = 0;
  std::unordered_map<HttpCallId, Call> m_calls;
  std::map<std::string, std::vector<ConnectionPtr>, std::less<>> m_idle;
  std::vector<ConnectionPtr> m_ended;
  /** Guards deferred calls against the client's own end. */
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

HttpClient::HttpClient(EventLoop& aLoop)
  : m_impl(std::make_unique<Impl>(aLoop))
{
}

HttpClient::~HttpClient() = default;

HttpCallId
HttpClient::Send(const HttpRequest& aRequest, HttpCallbacks aCallbacks)
{
  const HttpCallId id = ++m_impl->m_lastId;
  ClientListener listener;
  listener.m_head = aCallbacks.m_head;
  listener.m_chunk = aCallbacks.m_chunk;
  listener.m_skipped = aCallbacks.m_skipped;
  Call& call = m_impl->m_calls[id];
  call.m_callbacks = std::move(aCallbacks);
  call.m_address = aRequest.m_address;
  call.m_keepIdle = aRequest.m_keepIdle;
  call.m_connection = m_impl->Connect(aRequest);
  if (call.m_connection == nullptr) {
    m_impl->Defer([impl = m_impl.get(), id] {
      HttpResponse unsent;
      unsent.m_end = HttpEnd::NotSent;
      impl->Finish(id, { std::move(unsent), false });
    });
    return id;
  }
  listener.m_end = [impl = m_impl.get(), id](const ClientEnd& aEnd) {
    impl->Finish(id, aEnd);
  };
  call.m_connection->Send(aRequest, std::move(listener));
  return id;
}

void
HttpClient::Cancel(HttpCallId aCall)
{
  const auto found = m_impl->m_calls.find(aCall);
  if (found == m_impl->m_calls.end()) {
    return;
  }
  ConnectionPtr connection = std::move(found->second.m_connection);
  m_impl->m_calls.erase(found);
  if (connection != nullptr) {
    m_impl->Retire(std::move(connection));
  }
}

bool
HttpClient::MayHaveLeft(HttpCallId aCall) const
{
  const auto found = m_impl->m_calls.find(aCall);
  if (found == m_impl->m_calls.end()) {
    return true;
  }
  const ConnectionPtr& connection = found->second.m_connection;
  return connection != nullptr && connection->IsConnected();
}

void
HttpClient::SetReading(HttpCallId aCall, bool aReads)
{
  const auto found = m_impl->m_calls.find(aCall);
  if (found != m_impl->m_calls.end() && found->second.m_connection != nullptr) {
    found->second.m_connection->SetReading(aReads);
  }
}

} // namespace ridgeferry::net
