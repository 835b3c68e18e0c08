#pragma once

namespace ridgeferry {

/** Makes one visitor out of several lambdas, for std::visit. */
template<typename... Visitors>
struct Overloaded : Visitors...
{
  using Visitors::operator()...;
};
template<typename... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

} // namespace ridgeferry
