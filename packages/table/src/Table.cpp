#include "ridgeferry/table/Table.h"

// Value types only: this file makes the package a library of its own.
