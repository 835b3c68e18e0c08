#pragma once

#include "FaultyLink.h"
#include "SoakHistory.h"

#include <list>
#include <map>
#include <memory>
#include <random>
#include <ridgeferry/net/HttpServer.h>
#include <string>

namespace ridgeferry::soak {

/** What an upstream of the soak is. */
enum class UpstreamPart
{
  Plain,
  Reader,    ///< An engine that reads prompts.
  Generator, ///< An engine that gives the output.
};

/** How it misbehaves: the share of calls that it treats so. */
struct UpstreamMood
{
  double m_fails = 0;
  double m_mute = 0;
  double m_breaks = 0;
  /** Run, and answered as if they were not: with the mark of a request that was
   * not run beside the stamp of a run. */
  double m_contradicts = 0;
  /** Run, and answered with a status that declines, without its mark. */
  double m_unmarked = 0;
  /** Run where only their prompt was to be read. */
  double m_runsPrompts = 0;
};

/** What a handle stands for: the memory of a call's prompt, as one software
 * version wrote it. */
struct KeptMemory
{
  std::string m_call;
  std::string m_version;
};

/** What the handles stand for; shared by all engines. */
using HandleBook = std::map<std::string, KeptMemory, std::less<>>;

/**
 * Plays one upstream behind a link, speaks the published wire, and writes all
 * that it is sent into the history. Its runs must not outlive it: it is kept
 * until the loop has ended. Not thread-safe.
 */
class SoakUpstream
{
public:
  SoakUpstream(net::EventLoop& aLoop,
               SoakHistory& aHistory,
               HandleBook& aHandles,
               std::string aId,
               UpstreamPart aPart,
               std::string aVersion,
               std::uint64_t aSeed);
  ~SoakUpstream();
  SoakUpstream(const SoakUpstream&) = delete;
  SoakUpstream& operator=(const SoakUpstream&) = delete;

  const std::string& Id() const { return m_id; }
  /** Its row in the list of upstreams. */
  std::string Row(bool aLeaving) const;
  FaultyLink& Link() { return *m_link; }
  void SetMood(UpstreamMood aMood) { m_mood = aMood; }
  /** Ends it at once, with all that it runs; the object stays, as loop
   * callbacks of it may be due. */
  void Crash();

private:
  using ExchangePtr = std::shared_ptr<net::HttpExchange>;
  struct Job;

  void Take(const ExchangePtr& aExchange);
  void Decline(Job& aJob, int aStatus);
  void Read(Job& aJob);
  void Run(Job& aJob);
  /** Answers a run as if it were none, by its mood. False: it did not. */
  bool AnswersUntruly(Job& aJob);
  void RunPlain(Job& aJob);
  void NextEvent(Job& aJob);
  void End(Job& aJob);
  SoakRun& RunOf(const Job& aJob);
  bool Draw(double aShare);
  Duration DrawMs(int aLeast, int aMost);
  bool TakeMemory(const Job& aJob);

  net::EventLoop& m_loop;
  SoakHistory& m_history;
  HandleBook& m_handles;
  std::string m_id;
  UpstreamPart m_part;
  std::string m_version; ///< Of its software.
  UpstreamMood m_mood;
  std::mt19937_64 m_random;
  std::size_t m_running = 0;
  std::list<std::unique_ptr<Job>> m_jobs;
  std::unique_ptr<net::HttpServer> m_server;
  std::unique_ptr<FaultyLink> m_link;
};

} // namespace ridgeferry::soak
