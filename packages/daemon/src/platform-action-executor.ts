import type {DaemonAction, DaemonEvent} from '@cicadapost/decision';
import type {
	ObjectStore, TableService, VmList, WeightStore,
} from '@cicadapost/platform';
import type {ObjectResponse} from '@cicadapost/types';
import {inject, injectable} from 'tsyringe';
import {tokens} from './tokens.js';

const platformActionKinds = [
	'read-row', 'write-row', 'list-rows', 'get-object', 'put-object', 'delete-object', 'read-vm-list', 'read-weights',
] as const;

type ActionOf<Kind extends DaemonAction['kind']> = Extract<DaemonAction, {kind: Kind}>;
export type PlatformAction = ActionOf<typeof platformActionKinds[number]>;

const platformActionKindSet: ReadonlySet<string> = new Set(platformActionKinds);

export function isPlatformAction(action: DaemonAction): action is PlatformAction {
	return platformActionKindSet.has(action.kind);
}

/** Executes platform actions and posts the results as events. */
@injectable()
export class PlatformActionExecutor {
	constructor(
		@inject(tokens.tableService) private readonly tableService: TableService,
		@inject(tokens.objectStore) private readonly objectStore: ObjectStore,
		@inject(tokens.vmList) private readonly vmList: VmList,
		@inject(tokens.weightStore) private readonly weightStore: WeightStore,
	) {}

	/** Executes one action and posts one event with its result. Nothing is posted if the VM list can't be read. */
	async execute(action: PlatformAction, post: (event: DaemonEvent) => void): Promise<void> {
		const event = await this.callPlatform(action);
		if (event !== undefined) {
			post(event);
		}
	}

	private async callPlatform(action: PlatformAction): Promise<DaemonEvent | undefined> {
		switch (action.kind) {
			case 'read-row': {
				return {kind: 'row-answer', call: action.call, answer: await this.tableService.read(action.table, action.key)};
			}

			case 'write-row': {
				const {call, table, key, expectedVersion, value} = action;
				return {kind: 'row-answer', call, answer: await this.tableService.compareAndSet(table, key, expectedVersion, value)};
			}

			case 'list-rows': {
				return {kind: 'list-answer', call: action.call, rows: await this.tableService.list(action.table, action.prefix)};
			}

			case 'get-object':
			case 'put-object':
			case 'delete-object': {
				return {kind: 'object-answer', call: action.call, answer: await this.callObjectStore(action)};
			}

			case 'read-vm-list': {
				const vms = await this.vmList.read();
				return vms === undefined ? undefined : {kind: 'vm-list', vms};
			}

			case 'read-weights': {
				return {kind: 'weights', pool: action.pool, version: await this.weightStore.newestVersion(action.pool)};
			}
		}
	}

	private async callObjectStore(action: ActionOf<'get-object' | 'put-object' | 'delete-object'>): Promise<ObjectResponse> {
		if (action.kind === 'get-object') {
			return this.objectStore.get(action.key);
		}

		const isDone = action.kind === 'put-object' ? await this.objectStore.put(action.key, action.value) : await this.objectStore.delete(action.key);
		return isDone ? {kind: 'done'} : {kind: 'unavailable'};
	}
}
