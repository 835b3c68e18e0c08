#include "ridgeferry/cli/Story.h"

#include <algorithm>
#include <istream>
#include <nlohmann/json.hpp>
#include <set>

namespace ridgeferry::cli {

namespace {

using Json = nlohmann::ordered_json;

/** Most lines on its upstreams: the newest ones explain the most. */
constexpr std::size_t kMostBeliefs = 2000;

struct Entry
{
  std::string m_time;
  Json m_fields;
};

std::string
TextOf(const Json& aFields, const char* aName)
{
  const auto found = aFields.find(aName);
  return found != aFields.end() && found->is_string()
           ? found->get<std::string>()
           : std::string();
}

/** Adds the upstreams that a line of the request names. */
void
NoteUpstreams(const Json& aFields, std::set<std::string>& aUpstreams)
{
  for (const char* name : { "upstream", "reader" }) {
    if (std::string text = TextOf(aFields, name); !text.empty()) {
      aUpstreams.insert(std::move(text));
    }
  }
}

StoryLine
Format(const Entry& aEntry)
{
  std::string text = TextOf(aEntry.m_fields, "instance") + " " +
                     TextOf(aEntry.m_fields, "event");
  static const std::set<std::string> kShown = {
    "time", "level", "event", "instance", "hall"
  };
  for (const auto& [name, value] : aEntry.m_fields.items()) {
    if (!kShown.contains(name)) {
      text += " " + name + "=" +
              (value.is_string() ? value.get<std::string>() : value.dump());
    }
  }
  return { aEntry.m_time, std::move(text) };
}

} // namespace

std::vector<StoryLine>
ReadStory(std::istream& aLog, std::string_view aId)
{
  std::vector<Entry> own;
  std::vector<Entry> beliefs; // Lines that concern no single request.
  std::set<std::string> upstreams;
  std::string line;
  while (std::getline(aLog, line)) {
    const std::size_t brace = line.find('{');
    if (brace == std::string::npos) {
      continue;
    }
    Json fields = Json::parse(line.substr(brace), nullptr, false);
    if (!fields.is_object()) {
      continue;
    }
    Entry entry{ TextOf(fields, "time"), std::move(fields) };
    const std::string id = TextOf(entry.m_fields, "id");
    if (id == aId) {
      NoteUpstreams(entry.m_fields, upstreams);
      own.push_back(std::move(entry));
    } else if (id.empty()) {
      beliefs.push_back(std::move(entry));
    }
  }
  if (own.empty()) {
    return {};
  }
  const auto byTime = [](const Entry& aLeft, const Entry& aRight) {
    return aLeft.m_time < aRight.m_time;
  };
  std::stable_sort(own.begin(), own.end(), byTime);
  std::stable_sort(beliefs.begin(), beliefs.end(), byTime);
  const std::string last = own.back().m_time;
  std::size_t kept = 0;
  for (auto belief = beliefs.rbegin();
       belief != beliefs.rend() && kept < kMostBeliefs;
       ++belief) {
    const std::string upstream = TextOf(belief->m_fields, "upstream");
    if (belief->m_time <= last && upstreams.contains(upstream)) {
      own.push_back(*belief);
      ++kept;
    }
  }
  std::stable_sort(own.begin(), own.end(), byTime);
  std::vector<StoryLine> out;
  std::transform(own.begin(), own.end(), std::back_inserter(out), &Format);
  return out;
}

} // namespace ridgeferry::cli
