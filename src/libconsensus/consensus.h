#pragma once

// Public header of libconsensus.
