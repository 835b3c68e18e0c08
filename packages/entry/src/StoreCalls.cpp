#include "StoreCalls.h"

#include <utility>

namespace ridgeferry::entry {

StoreCalls::StoreCalls(EntryNode& aNode,
                       StoreGenerations& aGenerations,
                       std::string aPurpose)
  : m_node(aNode)
  , m_generations(aGenerations)
  , m_purpose(std::move(aPurpose))
{
}

void
StoreCalls::Commit(const StoreCommit& aCommit, Committed aCommitted)
{
  Send(m_node.m_dialect.m_writeStoreCommit(aCommit),
       kTimeout,
       [this, committed = std::move(aCommitted)](
         const net::HttpResponse& aResponse, StoreGeneration) {
         committed(m_node.m_dialect.m_readStoreCommit(aResponse));
       });
}

void
StoreCalls::Read(const StoreRead& aRead, Answered aAnswered, Duration aTimeout)
{
  Send(m_node.m_dialect.m_writeStoreRead(aRead),
       aTimeout,
       [this, answered = std::move(aAnswered)](
         const net::HttpResponse& aResponse, StoreGeneration aGeneration) {
         answered(net::HasAnswer(aResponse)
                    ? m_node.m_dialect.m_readStoreAnswer(aResponse)
                    : StoreAnswer(relay::ReadFailed{ "no complete answer" }),
                  aGeneration);
       });
}

void
StoreCalls::Send(
  net::HttpRequest aRequest,
  Duration aTimeout,
  sigc::slot<void(const net::HttpResponse&, StoreGeneration)> aDone)
{
  aRequest.m_address = m_node.m_settings.m_store;
  aRequest.m_timeout = aTimeout;
  aRequest.m_connectTimeout = aTimeout;
  aRequest.m_maxBody = net::kMaxStoreBody;
  aRequest.m_fresh = m_needsFreshConnection;
  net::HttpCallbacks callbacks;
  callbacks.m_done =
    [this, done = std::move(aDone)](const net::HttpResponse& aResponse) {
      m_needsFreshConnection = !net::HasAnswer(aResponse);
      const StoreGeneration generation = m_generations.Of(aResponse);
      m_generations.Note(generation, m_purpose);
      done(aResponse, generation);
    };
  m_node.m_http->Send(aRequest, std::move(callbacks));
}

} // namespace ridgeferry::entry
