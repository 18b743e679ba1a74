// Replaces optional native modules in the bundle. The libraries that load them catch this error and work without them.
throw new Error('this module is not part of the bundle');
