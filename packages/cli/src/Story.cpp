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

/** What the lines of a request name: its upstreams, the call by its content,
 * which is the same for all tries, and the segment of its prompt that it is
 * refused for. */
struct Named
{
  std::set<std::string> m_upstreams;
  std::set<std::string> m_calls;
  std::set<std::string> m_segments;
  /** Its service at each instance that had it. */
  std::set<std::string> m_services;

  static std::string ServiceOf(const Json& aFields)
  {
    const std::string service = TextOf(aFields, "service");
    return service.empty() ? service
                           : TextOf(aFields, "instance") + "/" + service;
  }

  void Add(const Json& aFields)
  {
    for (const char* name : { "upstream", "reader" }) {
      if (std::string text = TextOf(aFields, name); !text.empty()) {
        m_upstreams.insert(std::move(text));
      }
    }
    if (std::string text = TextOf(aFields, "call"); !text.empty()) {
      m_calls.insert(std::move(text));
    }
    if (std::string text = TextOf(aFields, "segment"); !text.empty()) {
      m_segments.insert(std::move(text));
    }
    if (std::string text = ServiceOf(aFields); !text.empty()) {
      m_services.insert(std::move(text));
    }
  }

  bool Concerns(const Json& aBelief) const
  {
    return m_upstreams.contains(TextOf(aBelief, "upstream")) ||
           m_calls.contains(TextOf(aBelief, "call")) ||
           m_segments.contains(TextOf(aBelief, "segment")) ||
           (!aBelief.contains("upstream") &&
            m_services.contains(ServiceOf(aBelief)));
  }
};

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
  Named named;
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
      named.Add(entry.m_fields);
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
    if (belief->m_time <= last && named.Concerns(belief->m_fields)) {
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
