#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <tl/expected.hpp>

namespace ridgeferry::cli {

/** Why a file of declared objects cannot be used: one line a fault. */
struct FileError
{
  std::string m_message;
};

/**
 * Reads and checks a file with one declared object or an array of them.
 * Returns them as an array.
 */
tl::expected<nlohmann::json, FileError>
ReadObjectFile(const std::string& aFile);

} // namespace ridgeferry::cli
