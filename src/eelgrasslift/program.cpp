namespace eelgrasslift {}
