#include "ObjectFile.h"

#include <fstream>
#include <ridgeferry/declared/Objects.h>

namespace ridgeferry::cli {

tl::expected<nlohmann::json, FileError>
ReadObjectFile(const std::string& aFile)
{
  std::ifstream in(aFile);
  if (!in) {
    return tl::unexpected(FileError{ aFile + ": the file cannot be read\n" });
  }
  nlohmann::json value;
  try {
    value = nlohmann::json::parse(in);
  } catch (const nlohmann::json::exception& error) {
    return tl::unexpected(
      FileError{ aFile + ": no JSON: " + error.what() + "\n" });
  }
  if (!value.is_array()) {
    value = nlohmann::json::array({ value });
  }
  std::string faults;
  for (std::size_t i = 0; i < value.size(); ++i) {
    const auto object =
      declared::ObjectFromJson(value[i], "/" + std::to_string(i));
    if (object) {
      continue;
    }
    for (const FieldError& fault : object.error()) {
      faults += aFile + ": " + FormatFieldError(fault) + "\n";
    }
  }
  if (!faults.empty()) {
    return tl::unexpected(FileError{ std::move(faults) });
  }
  return value;
}

} // namespace ridgeferry::cli
