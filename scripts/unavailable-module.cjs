// Takes the place of optional native modules in the bundle; their users catch the error and do without.
throw new Error('this module is not part of the bundle');
