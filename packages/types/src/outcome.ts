/** Result of a decision function: the new state, and the actions that the I/O layer must execute in order. */
export type DecisionResult<State, Action> = Readonly<{
	state: State;
	actions: readonly Action[];
}>;
