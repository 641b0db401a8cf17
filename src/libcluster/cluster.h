#pragma once

// Public header of libcluster.
