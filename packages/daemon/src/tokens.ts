/** Injection tokens of the dependency container. */

export const tokens = {
	settings: Symbol('settings'),
	clock: Symbol('clock'),
	logger: Symbol('logger'),
	tableService: Symbol('tableService'),
	objectStore: Symbol('objectStore'),
	vmList: Symbol('vmList'),
	metrics: Symbol('metrics'),
	weightStore: Symbol('weightStore'),
	peers: Symbol('peers'),
	upstreams: Symbol('upstreams'),
} as const;
