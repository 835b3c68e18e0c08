#include "EvHttp.h"

#include <array>
#include <event2/keyvalq_struct.h>

namespace ridgeferry::net {

namespace {

struct CommandRow
{
  evhttp_cmd_type m_command;
  std::string_view m_name;
};

constexpr std::array kCommands = {
  CommandRow{ EVHTTP_REQ_GET, "GET" },
  CommandRow{ EVHTTP_REQ_POST, "POST" },
  CommandRow{ EVHTTP_REQ_PUT, "PUT" },
  CommandRow{ EVHTTP_REQ_DELETE, "DELETE" },
  CommandRow{ EVHTTP_REQ_PATCH, "PATCH" },
  CommandRow{ EVHTTP_REQ_HEAD, "HEAD" },
};

} // namespace

evhttp_cmd_type
CommandFromName(std::string_view aName)
{
  for (const CommandRow& row : kCommands) {
    if (row.m_name == aName) {
      return row.m_command;
    }
  }
  return EVHTTP_REQ_GET;
}

std::string_view
CommandName(evhttp_cmd_type aCommand)
{
  for (const CommandRow& row : kCommands) {
    if (row.m_command == aCommand) {
      return row.m_name;
    }
  }
  return "GET";
}

HttpHeaders
CopyHeaders(const evkeyvalq* aHeaders)
{
  HttpHeaders out;
  for (const evkeyval* item = aHeaders->tqh_first; item != nullptr;
       item = item->next.tqe_next) {
    out.Add(item->key, item->value);
  }
  return out;
}

std::string
TakeBytes(evbuffer* aBuffer)
{
  std::string out(evbuffer_get_length(aBuffer), '\0');
  evbuffer_remove(aBuffer, out.data(), out.size());
  return out;
}

} // namespace ridgeferry::net
