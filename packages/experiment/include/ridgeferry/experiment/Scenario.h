#pragma once

#include <cstdint>
#include <ridgeferry/base/SettingsError.h>
#include <ridgeferry/base/Time.h>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace ridgeferry::experiment {

/** What an engine can do. Times in ms, tokens as such. */
struct EngineTerms
{
  std::int64_t m_slots = 48;             ///< Calls admitted at once.
  std::int64_t m_memoryTokens = 300'000; ///< For running calls and kept parts.
  double m_stepMs = 0.6;                 ///< One token of every running call.
  double m_stepMsPerCall = 0.002;        ///< More, for each of them.
  double m_readTokensPerMs = 300;        ///< Of prompts, at a reader.
  std::int64_t m_pieceTokens = 1024;     ///< Read between two steps.
  double m_handOverMs = 4;               ///< Of one prompt's memory.
};

/** A kind of call. */
struct CallTerms
{
  std::string m_name;
  double m_perSecond = 1; ///< From all callers, outside of peaks.
  /** Of the prompt: in the first part, which all calls of the kind share; in
   * the second, which those of one chain share; and its own. */
  std::int64_t m_commonTokens = 0;
  std::int64_t m_chainTokens = 0;
  std::int64_t m_ownTokens = 100;
  std::int64_t m_chains = 1; ///< Different second parts.
  std::int64_t m_outTokens = 1;
  Duration m_aim{ 200 };    ///< To the first token.
  Duration m_gapAim{ 150 }; ///< Longest pause between tokens.
  Duration m_deadline{ 2000 };
  int m_comesBack = 1; ///< How often a caller tries again after a refusal.
};

/** More calls of one kind for some time. */
struct Peak
{
  std::string m_call;
  Duration m_at{};
  Duration m_for{};
  double m_times = 1;
};

/** Some engines are dark for some time: they say nothing. */
struct Loss
{
  Duration m_at{};
  Duration m_for{};
  std::int64_t m_engines = 1;
  /** The list of upstreams tells it after that. */
  Duration m_listedAfter{ 3600 };
};

/** A deployment, its traffic and what goes wrong. */
struct Scenario
{
  std::string m_name;
  std::int64_t m_instances = 8;
  std::int64_t m_readers = 4;    ///< Engines that read prompts.
  std::int64_t m_generators = 8; ///< Engines that give output.
  Duration m_length{ 30'000 };
  Duration m_talkEvery{ 40 }; ///< How often instances tell their loads.
  /** Instances know from the start that prompts are to be read apart. */
  bool m_readsApart = false;
  EngineTerms m_engine;
  std::vector<CallTerms> m_calls;
  std::vector<Peak> m_peaks;
  std::vector<Loss> m_losses;
};

/** Reads a scenario file's text; all its faults at once. Thread-safe. */
tl::expected<Scenario, SettingsError>
ParseScenario(std::string_view aText, const std::string& aFile);

/** Error: the file cannot be read, or what `ParseScenario` says. */
tl::expected<Scenario, SettingsError>
LoadScenario(const std::string& aFile);

} // namespace ridgeferry::experiment
