#include "ridgeferry/net/HttpClient.h"

#include "EvHttp.h"

#include <algorithm>
#include <event2/event.h>
#include <map>
#include <ridgeferry/net/Address.h>
#include <vector>

namespace ridgeferry::net {

namespace {

constexpr std::size_t kMaxIdlePerAddress = 32;

/** One request on its way. */
struct Call
{
  HttpClient::Impl* m_client = nullptr;
  HttpCallId m_id = 0;
  HttpCallbacks m_callbacks;
  std::string m_address;
  evhttp_connection* m_connection = nullptr;
  evhttp_request* m_request = nullptr;
  HttpResponse m_response;
  bool m_failed = false; ///< The library reported an error after connecting.
};

} // namespace

struct HttpClient::Impl
{
  explicit Impl(EventLoop& aLoop)
    : m_loop(aLoop)
  {
  }

  EventLoop& m_loop;
  HttpCallId m_lastId = 0;
  std::map<HttpCallId, std::unique_ptr<Call>> m_calls;
  std::map<std::string, std::vector<evhttp_connection*>, std::less<>> m_idle;
  /** Connections that end; freed outside their own callbacks. */
  std::vector<evhttp_connection*> m_ended;
  bool m_sweepPlanned = false;
  /** Guards deferred calls against the client's own end. */
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);

  evhttp_connection* Connect(const HttpRequest& aRequest)
  {
    std::vector<evhttp_connection*>& idle = m_idle[aRequest.m_address];
    if (!aRequest.m_fresh && !idle.empty()) {
      evhttp_connection* kept = idle.back();
      idle.pop_back();
      return kept;
    }
    const auto address = Address::Parse(aRequest.m_address);
    if (!address) {
      return nullptr;
    }
    return evhttp_connection_base_new(
      m_loop.Base(), nullptr, address->m_ip.c_str(), address->m_port);
  }

  void End(evhttp_connection* aConnection)
  {
    m_ended.push_back(aConnection);
    if (m_sweepPlanned) {
      return;
    }
    m_sweepPlanned = true;
    m_loop.Defer([this, alive = std::weak_ptr<bool>(m_alive)] {
      if (alive.expired()) {
        return;
      }
      m_sweepPlanned = false;
      Sweep();
    });
  }

  void Sweep()
  {
    for (evhttp_connection* connection : m_ended) {
      evhttp_connection_free(connection);
    }
    m_ended.clear();
  }

  void Keep(Call& aCall)
  {
    std::vector<evhttp_connection*>& idle = m_idle[aCall.m_address];
    if (idle.size() < kMaxIdlePerAddress) {
      idle.push_back(aCall.m_connection);
    } else {
      End(aCall.m_connection);
    }
  }

  void Finish(Call& aCall)
  {
    const auto it = m_calls.find(aCall.m_id);
    const std::unique_ptr<Call> call = std::move(it->second);
    m_calls.erase(it);
    if (call->m_connection != nullptr) {
      if (call->m_response.m_end == HttpEnd::Complete) {
        Keep(*call);
      } else {
        End(call->m_connection);
      }
    }
    call->m_callbacks.m_done(call->m_response);
  }
};

namespace {

int
OnHead(evhttp_request* aRequest, void* aContext)
{
  Call& call = *static_cast<Call*>(aContext);
  call.m_response.m_head.m_status = evhttp_request_get_response_code(aRequest);
  call.m_response.m_head.m_headers =
    CopyHeaders(evhttp_request_get_input_headers(aRequest));
  if (call.m_callbacks.m_head) {
    call.m_callbacks.m_head(call.m_response.m_head);
  }
  return 0;
}

void
OnChunk(evhttp_request* aRequest, void* aContext)
{
  Call& call = *static_cast<Call*>(aContext);
  const std::string bytes =
    TakeBytes(evhttp_request_get_input_buffer(aRequest));
  if (!bytes.empty()) {
    call.m_callbacks.m_chunk(bytes);
  }
}

void
OnError(evhttp_request_error, void* aContext)
{
  static_cast<Call*>(aContext)->m_failed = true;
}

void
OnDone(evhttp_request* aRequest, void* aContext)
{
  Call& call = *static_cast<Call*>(aContext);
  call.m_request = nullptr;
  if (aRequest == nullptr || call.m_failed) {
    call.m_response.m_end = HttpEnd::Broken;
  } else if (evhttp_request_get_response_code(aRequest) == 0) {
    // The library ends a request this way only while it connects: had the
    // connection stood, an error would have been reported first.
    call.m_response.m_end = HttpEnd::NotSent;
  } else {
    call.m_response.m_end = HttpEnd::Complete;
    if (!call.m_callbacks.m_chunk) {
      call.m_response.m_body =
        TakeBytes(evhttp_request_get_input_buffer(aRequest));
    }
  }
  call.m_client->Finish(call);
}

void
FillRequest(evhttp_request* aTarget, const HttpRequest& aSource)
{
  evkeyvalq* headers = evhttp_request_get_output_headers(aTarget);
  evhttp_add_header(headers, "Host", aSource.m_address.c_str());
  for (const auto& [name, value] : aSource.m_headers.All()) {
    evhttp_add_header(headers, name.c_str(), value.c_str());
  }
  if (!aSource.m_body.empty()) {
    evbuffer_add(evhttp_request_get_output_buffer(aTarget),
                 aSource.m_body.data(),
                 aSource.m_body.size());
  }
}

} // namespace

HttpClient::HttpClient(EventLoop& aLoop)
  : m_impl(std::make_unique<Impl>(aLoop))
{
}

HttpClient::~HttpClient()
{
  for (auto& [id, call] : m_impl->m_calls) {
    if (call->m_connection != nullptr) {
      m_impl->m_ended.push_back(call->m_connection);
    }
    if (call->m_request != nullptr) {
      evhttp_cancel_request(call->m_request);
    }
  }
  for (auto& [address, idle] : m_impl->m_idle) {
    m_impl->m_ended.insert(m_impl->m_ended.end(), idle.begin(), idle.end());
  }
  m_impl->Sweep();
}

HttpCallId
HttpClient::Send(const HttpRequest& aRequest, HttpCallbacks aCallbacks)
{
  auto owned = std::make_unique<Call>();
  Call& call = *owned;
  call.m_client = m_impl.get();
  call.m_id = ++m_impl->m_lastId;
  call.m_callbacks = std::move(aCallbacks);
  call.m_address = aRequest.m_address;
  m_impl->m_calls.emplace(call.m_id, std::move(owned));
  call.m_connection = m_impl->Connect(aRequest);
  if (call.m_connection == nullptr) {
    call.m_response.m_end = HttpEnd::NotSent;
    m_impl->m_loop.Defer([impl = m_impl.get(),
                          id = call.m_id,
                          alive = std::weak_ptr<bool>(m_impl->m_alive)] {
      if (alive.expired()) {
        return;
      }
      const auto it = impl->m_calls.find(id);
      if (it != impl->m_calls.end()) {
        impl->Finish(*it->second);
      }
    });
    return call.m_id;
  }
  constexpr std::int64_t kMsPerSecond = 1000;
  const timeval timeout{ aRequest.m_timeout.count() / kMsPerSecond,
                         aRequest.m_timeout.count() % kMsPerSecond *
                           kMsPerSecond };
  evhttp_connection_set_timeout_tv(call.m_connection, &timeout);
  call.m_request = evhttp_request_new(&OnDone, &call);
  evhttp_request_set_error_cb(call.m_request, &OnError);
  evhttp_request_set_header_cb(call.m_request, &OnHead);
  if (call.m_callbacks.m_chunk) {
    evhttp_request_set_chunked_cb(call.m_request, &OnChunk);
  }
  FillRequest(call.m_request, aRequest);
  const HttpCallId id = call.m_id;
  evhttp_make_request(call.m_connection,
                      call.m_request,
                      CommandFromName(aRequest.m_method),
                      aRequest.m_target.c_str());
  return id;
}

void
HttpClient::Cancel(HttpCallId aCall)
{
  const auto it = m_impl->m_calls.find(aCall);
  if (it == m_impl->m_calls.end()) {
    return;
  }
  const std::unique_ptr<Call> call = std::move(it->second);
  m_impl->m_calls.erase(it);
  if (call->m_request != nullptr) {
    evhttp_cancel_request(call->m_request);
  }
  if (call->m_connection != nullptr) {
    m_impl->End(call->m_connection);
  }
}

} // namespace ridgeferry::net
